package org.carobhoist.server.app;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import picocli.CommandLine;

/** Runs the command with a script in place of the bench. */
final class CompareCommandTest {

  /** Writes a journal entry as found in the checkout's file "day"; fails to build without it. */
  private static final String BENCH =
      """
      #!/bin/sh
      [ -f day ] || exit 1
      [ "$1" = run ] || exit 0
      [ "$3" = trouble-1 ] || exit 2
      mkdir -p journal
      printf '{"ok":true,"site":"site","why":"%s","days":[%s]}' "${10}" "$(cat day)" > "journal/$6.json"
      """;

  private static final String PLAYED =
      "{\"G\":WORTH,\"served\":0.9,\"parts\":[[\"whole day\",0.75,0.8]],"
          + "\"prices\":[[\"orders\",4,0.02],[\"loads\",2,0.01]],\"rules\":RULES,\"fault\":FAULT}";

  @TempDir private Path folder;

  private final StringWriter out = new StringWriter();
  private final StringWriter err = new StringWriter();

  @BeforeEach
  void createBench() throws IOException {
    Path bench = Files.writeString(folder.resolve("bench"), BENCH);
    assertThat(bench.toFile().setExecutable(true)).isTrue();
    Files.writeString(folder.resolve("site.toml"), "");
  }

  private void variant(String name, String worth, String rules, String fault) throws IOException {
    Path checkout = Files.createDirectories(folder.resolve(name));
    String day = PLAYED.replace("WORTH", worth).replace("RULES", rules).replace("FAULT", fault);
    Files.writeString(checkout.resolve("day"), day);
  }

  private int compare(String days) {
    List<String> args =
        new ArrayList<>(
            List.of("compare", "--bench", folder + "/bench", "--site", folder + "/site.toml"));
    args.addAll(List.of("--days", days, "--seeds", "1,2", "--jobs", "2", "--why", "a test"));
    args.addAll(List.of("old=" + folder.resolve("old"), "new=" + folder.resolve("new")));
    CommandLine commandLine = Main.commandLine();
    commandLine.setOut(new PrintWriter(out, true)).setErr(new PrintWriter(err, true));
    return commandLine.execute(args.toArray(String[]::new));
  }

  @Test
  void printsDifferencesOfPlayedVariants() throws IOException {
    variant("old", "0.7", "{}", "null");
    variant("new", "0.8", "{}", "null");
    assertThat(compare("trouble-1")).isEqualTo(ExitCodes.DONE);
    assertThat(out.toString())
        .contains("| site | trouble-1 | worth | 0.700 | new | 0.800 | +0.100 ± 0.000 | 2 |");
    assertThat(out.toString()).contains("| site | all | prices | 0.030 | new | 0.030 |");
    assertThat(err.toString()).contains("4 of 4: new on site.toml trouble-1 seed 2");
  }

  @Test
  void givenUpPlayOrBrokenRuleYieldsNoFigures() throws IOException {
    variant("old", "0.7", "{}", "\"too slow\"");
    variant("new", "0.8", "{\"LOST\":2}", "null");
    assertThat(compare("trouble-1")).isEqualTo(ExitCodes.FAILED);
    assertThat(out.toString()).contains("no figures: old on site.toml trouble-1 seed 1: too slow");
    assertThat(out.toString()).contains("seed 2: rules broken: {\"LOST\":2}");
    assertThat(out.toString()).doesNotContain("worth");
  }

  @Test
  void refusesVariantThatDoesNotBuildOrExist() throws IOException {
    variant("old", "0.7", "{}", "null");
    assertThat(compare("trouble-1")).isEqualTo(ExitCodes.USAGE);
    assertThat(err.toString()).contains("variant new: no such folder");
    Files.createDirectories(folder.resolve("new"));
    assertThat(compare("trouble-1")).isEqualTo(ExitCodes.USAGE);
    assertThat(err.toString()).contains("does not build");
  }

  @Test
  void reportsDayThatTheSiteLacks() throws IOException {
    variant("old", "0.7", "{}", "null");
    variant("new", "0.8", "{}", "null");
    assertThat(compare("trouble-9")).isEqualTo(ExitCodes.FAILED);
    assertThat(out.toString()).contains("the site may lack the day");
  }
}
