package org.carobhoist.server.app;

import java.util.concurrent.Callable;
import org.carobhoist.core.settings.SettingsException;
import org.carobhoist.server.demo.GatewayWarmUp;
import org.carobhoist.server.log.EventLog;
import org.carobhoist.server.settings.LogLevel;
import picocli.CommandLine.Command;

/** Loads a gateway's classes by using them, to create the JVM's class-data archive. */
@Command(
    name = "warm-up",
    description = {
      "Runs a gateway against stand-ins in this process and sends it some requests and a job.",
      "With -XX:ArchiveClassesAtExit=FILE the JVM archives the classes that a gateway needs."
    })
final class WarmUpCommand implements Callable<Integer> {

  @Override
  public Integer call() throws SettingsException {
    EventLog.setLevel(LogLevel.ERROR);
    return GatewayWarmUp.run() ? ExitCodes.DONE : ExitCodes.FAILED;
  }
}
