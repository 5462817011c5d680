package org.carobhoist.server.app;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import org.carobhoist.core.settings.SettingsException;
import org.carobhoist.server.settings.DocumentChecker;
import org.carobhoist.server.settings.DocumentKind;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** Checks a settings file or a profile without starting or publishing anything. */
@Command(
    name = "check",
    description = {
      "Checks a settings file or a profile and prints every fault.",
      "Exits with 2 if there is one."
    })
final class CheckCommand implements Callable<Integer> {

  @Spec private CommandSpec spec;

  @Parameters(paramLabel = "FILE", description = "File to check (INI).")
  private Path file;

  @Option(
      names = {"-k", "--kind"},
      paramLabel = "KIND",
      description = "entry, sidecar or profile; default: detected from the file's sections.")
  private DocumentKind kind;

  @Override
  public Integer call() {
    try {
      String text = Files.readString(file, StandardCharsets.UTF_8);
      DocumentKind checked = kind == null ? DocumentKind.of(text) : kind;
      DocumentChecker.check(checked, file.toString(), text);
      spec.commandLine().getOut().println(file + ": good, " + checked.title());
      return ExitCodes.DONE;
    } catch (SettingsException e) {
      spec.commandLine().getErr().println(e.getMessage());
      return ExitCodes.USAGE;
    } catch (IOException e) {
      spec.commandLine().getErr().println(file + ": can't be read");
      return ExitCodes.USAGE;
    }
  }
}
