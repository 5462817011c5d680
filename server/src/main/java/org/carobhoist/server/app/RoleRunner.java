package org.carobhoist.server.app;

import com.linecorp.armeria.client.ClientFactory;
import java.nio.file.Path;
import java.util.concurrent.CompletionException;
import java.util.concurrent.CountDownLatch;
import org.carobhoist.core.settings.SettingsException;
import org.carobhoist.server.log.EventLog;
import org.carobhoist.server.log.LogEvent;
import org.carobhoist.server.runtime.Service;

/** Runs a role until the process is asked to end, then stops it in an orderly way. */
final class RoleRunner {

  /** Makes the service from its settings. */
  interface Maker {

    /** Returns the service, not yet started. */
    Service make() throws SettingsException;
  }

  private RoleRunner() {}

  /**
   * Runs the role; returns the process's exit code.
   *
   * @param settings the file that they come from
   */
  static int run(Maker maker, Path settings) {
    Service service;
    try {
      service = maker.make();
    } catch (SettingsException e) {
      System.err.println(e.getMessage());
      return ExitCodes.USAGE;
    }
    // Otherwise the client library cuts its connections as soon as the process is asked to end,
    // while the requests in flight still need them.
    ClientFactory.disableShutdownHook();
    HangUpSignal.listenFor(settings);
    try {
      service.start().join();
    } catch (CompletionException e) {
      EventLog.error(LogEvent.START_FAILED, e.getCause());
      return ExitCodes.FAILED;
    }
    awaitEnd(service);
    return ExitCodes.DONE;
  }

  private static void awaitEnd(Service service) {
    CountDownLatch forever = new CountDownLatch(1);
    Thread hook = new Thread(() -> stop(service), "shutdown");
    Runtime.getRuntime().addShutdownHook(hook);
    try {
      forever.await();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /**
   * Stops the service and ends the process. The JVM would report the signal that asked for the
   * stop; halting reports whether the stop was clean, which is what a supervisor needs to know.
   */
  private static void stop(Service service) {
    int code = ExitCodes.DONE;
    try {
      service.stop().join();
      EventLog.info(LogEvent.STOPPED);
    } catch (CompletionException e) {
      EventLog.error(LogEvent.STOP_FAILED, e.getCause());
      code = ExitCodes.FAILED;
    }
    EventLog.close();
    System.err.flush();
    Runtime.getRuntime().halt(code);
  }
}
