package org.carobhoist.server.app;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.io.IOException;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import picocli.CommandLine;

final class CommandLineTest {

  @TempDir private Path folder;

  private final StringWriter out = new StringWriter();
  private final StringWriter err = new StringWriter();

  @Test
  void everySubcommandHasHelp() {
    for (String name : Main.commandLine().getSubcommands().keySet()) {
      assertWithMessage(name).that(run(name, "--help")).isEqualTo(ExitCodes.DONE);
      assertThat(out.toString()).contains("Usage: carobhoist " + name);
    }
  }

  @Test
  void wrongUsageExitsWithTwo() {
    List<List<String>> wrong =
        List.of(
            List.of(),
            List.of("entry"),
            List.of("entry", "--bogus"),
            List.of("state"),
            List.of("state", "dump", "localhost:80"),
            List.of("state", "dump", "127.0.0.1:80", "--format", "xml"),
            List.of("check"));
    for (List<String> args : wrong) {
      assertWithMessage(args.toString())
          .that(run(args.toArray(String[]::new)))
          .isEqualTo(ExitCodes.USAGE);
    }
  }

  @Test
  void unreachableProcessExitsWithOne() {
    assertThat(run("state", "dump", "127.0.0.1:1")).isEqualTo(ExitCodes.FAILED);
    assertThat(err.toString()).startsWith("carobhoist: no state from 127.0.0.1:1: ");
  }

  @Test
  void checkPrintsKindOfValidFile() throws IOException {
    Path file = write("[profile]\nservice = horno-lm\nkind = engine\n");
    assertThat(run("check", file.toString())).isEqualTo(ExitCodes.DONE);
    assertThat(out.toString()).isEqualTo(file + ": good, a profile\n");
  }

  @Test
  void checkPrintsEveryFaultAndExitsWithTwo() throws IOException {
    Path file = write("[profile]\nservice = horno-lm\nkind = motor\nname = x\n");
    assertThat(run("check", file.toString())).isEqualTo(ExitCodes.USAGE);
    assertThat(err.toString().lines().toList()).hasSize(2);
  }

  @Test
  void checkOfMissingFileExitsWithTwo() {
    assertThat(run("check", folder.resolve("none").toString())).isEqualTo(ExitCodes.USAGE);
  }

  @Test
  void invalidSettingsMakeRolesExitWithTwo() throws IOException {
    Path file = write("[instance]\n");
    for (String role : Arrays.asList("entry", "sidecar")) {
      assertThat(run(role, "--settings", file.toString())).isEqualTo(ExitCodes.USAGE);
    }
  }

  private Path write(String text) throws IOException {
    return Files.writeString(folder.resolve("document.ini"), text);
  }

  private int run(String... args) {
    CommandLine line = Main.commandLine();
    line.setOut(new PrintWriter(out, true));
    line.setErr(new PrintWriter(err, true));
    return line.execute(args);
  }
}
