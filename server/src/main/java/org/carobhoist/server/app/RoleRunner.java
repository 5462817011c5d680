package org.carobhoist.server.app;

import com.linecorp.armeria.client.ClientFactory;
import java.nio.file.Path;
import java.util.concurrent.CompletionException;
import java.util.concurrent.CountDownLatch;
import org.carobhoist.core.settings.SettingsException;
import org.carobhoist.server.log.EventLog;
import org.carobhoist.server.log.LogEvent;
import org.carobhoist.server.runtime.Service;

/** Runs a role until the process is asked to exit, then stops it gracefully. */
final class RoleRunner {

  /** Creates the service from its settings. */
  interface ServiceFactory {

    /** Returns the service, not yet started. */
    Service create() throws SettingsException;
  }

  private RoleRunner() {}

  /**
   * Runs the role; returns the process's exit code.
   *
   * @param settings the settings file, checked for changes on a hang-up signal
   */
  static int run(ServiceFactory factory, Path settings) {
    Service service;
    try {
      service = factory.create();
    } catch (SettingsException e) {
      System.err.println(e.getMessage());
      return ExitCodes.USAGE;
    }
    // The library's own shutdown hook would close its connections as soon as the process is asked
    // to exit, while requests in flight still need them.
    ClientFactory.disableShutdownHook();
    HangUpSignalHandler.listenFor(settings);
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
   * Stops the service and ends the process. A normal JVM exit would report the signal as the exit
   * code; halting reports whether the stop was clean, which is what a supervisor needs to know.
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
