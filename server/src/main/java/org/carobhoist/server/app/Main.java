package org.carobhoist.server.app;

import java.util.Arrays;
import org.carobhoist.server.log.EventLog;
import org.carobhoist.server.log.LogEvent;
import picocli.AutoComplete;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.HelpCommand;
import picocli.CommandLine.IVersionProvider;

/** The command line entry point. */
@Command(
    name = "carobhoist",
    mixinStandardHelpOptions = true,
    scope = CommandLine.ScopeType.INHERIT,
    versionProvider = Main.Version.class,
    description = "Rollout service for reinforcement learning.",
    exitCodeListHeading = "%nExit codes:%n",
    exitCodeList = {
      "0:done",
      "1:failed",
      "2:wrong usage, settings or profile",
      "3:conflict with another operator's change"
    },
    subcommands = {
      EntryCommand.class,
      SidecarCommand.class,
      GatewayCommand.class,
      StateCommand.class,
      CheckCommand.class,
      CheckManifestCommand.class,
      DemoCommand.class,
      StepsCommand.class,
      CompareCommand.class,
      WarmUpCommand.class,
      ProfileCommand.class,
      HelpCommand.class,
      AutoComplete.GenerateCompletion.class
    })
public final class Main {

  private static final String[] GATEWAY_WITHOUT_OPTIONS = {GatewayCommand.NAME};

  private Main() {}

  /** Runs the command line and ends the process with its exit code. */
  public static void main(String[] args) {
    Thread.setDefaultUncaughtExceptionHandler(
        (thread, failure) ->
            EventLog.error(LogEvent.DECISION_FAILED, failure, "thread", thread.getName()));
    System.exit(execute(args));
  }

  /**
   * Runs the command line and returns its exit code. A gateway without options bypasses the option
   * parser, because loading that library takes a large part of a gateway's startup time.
   */
  static int execute(String... args) {
    return Arrays.equals(args, GATEWAY_WITHOUT_OPTIONS)
        ? runGateway()
        : commandLine().execute(args);
  }

  private static int runGateway() {
    try {
      return new GatewayCommand().call();
    } catch (RuntimeException e) {
      e.printStackTrace();
      return ExitCodes.FAILED;
    }
  }

  static CommandLine commandLine() {
    return new CommandLine(new Main()).setCaseInsensitiveEnumValuesAllowed(true);
  }

  /** Reads the version from the binary's manifest. */
  static final class Version implements IVersionProvider {

    @Override
    public String[] getVersion() {
      String version = Main.class.getPackage().getImplementationVersion();
      return new String[] {"carobhoist " + (version == null ? "development" : version)};
    }
  }
}
