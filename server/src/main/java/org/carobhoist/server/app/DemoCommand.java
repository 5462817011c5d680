package org.carobhoist.server.app;

import java.time.Duration;
import java.util.concurrent.Callable;
import org.carobhoist.core.settings.SettingsException;
import org.carobhoist.server.demo.Demo;
import org.carobhoist.server.demo.DemoReport;
import org.carobhoist.server.log.EventLog;
import org.carobhoist.server.settings.LogLevel;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/** Runs a small deployment under load and faults, all in this process. */
@Command(
    name = "demo",
    description = {
      "Runs a small deployment under load and faults, and checks it.",
      "Everything runs in this process; exits with 1 if an invariant was violated."
    })
final class DemoCommand implements Callable<Integer> {

  private static final int MIN_SECONDS = 5;
  private static final int MAX_SECONDS = 3_600;

  @Spec private CommandSpec spec;

  @Option(
      names = "--seconds",
      paramLabel = "N",
      defaultValue = "45",
      description = "Duration of the load, 5 to 3600 seconds (default: ${DEFAULT-VALUE}).")
  private int seconds;

  @Option(
      names = "--seed",
      paramLabel = "S",
      defaultValue = "1",
      description = "Seed of the requests and of the engine to crash (default: ${DEFAULT-VALUE}).")
  private long seed;

  @Option(
      names = "--log-level",
      paramLabel = "LEVEL",
      defaultValue = "error",
      description = "Log level of the processes: error, warn or info (default: ${DEFAULT-VALUE}).")
  private LogLevel logLevel;

  @Override
  public Integer call() throws SettingsException, InterruptedException {
    CommandLine line = spec.commandLine();
    if (seconds < MIN_SECONDS || seconds > MAX_SECONDS) {
      throw new CommandLine.ParameterException(
          line, "--seconds must be between " + MIN_SECONDS + " and " + MAX_SECONDS);
    }
    EventLog.setLevel(logLevel);
    DemoReport report = Demo.create(Duration.ofSeconds(seconds), seed, line.getOut()).run();
    return report.isClean() ? ExitCodes.DONE : ExitCodes.FAILED;
  }
}
