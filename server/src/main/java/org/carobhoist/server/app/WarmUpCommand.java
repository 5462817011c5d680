package org.carobhoist.server.app;

import java.util.concurrent.Callable;
import org.carobhoist.core.settings.SettingsException;
import org.carobhoist.server.demo.PlatformTrial;
import org.carobhoist.server.log.EventLog;
import org.carobhoist.server.settings.LogLevel;
import picocli.CommandLine.Command;

/** Uses a gateway's classes once, for the JVM's class-data archive. */
@Command(
    name = "warm-up",
    description = {
      "Serves some requests and a job by a gateway before stand-ins, all in this process.",
      "With -XX:ArchiveClassesAtExit=FILE the JVM writes down the classes that a gateway needs."
    })
final class WarmUpCommand implements Callable<Integer> {

  @Override
  public Integer call() throws SettingsException {
    EventLog.setLevel(LogLevel.ERROR);
    return PlatformTrial.run() ? ExitCodes.DONE : ExitCodes.FAILED;
  }
}
