package org.carobhoist.server.app;

import java.io.IOException;
import java.lang.reflect.Method;
import java.lang.reflect.Proxy;
import java.nio.file.Files;
import java.nio.file.Path;
import org.carobhoist.server.log.EventLog;
import org.carobhoist.server.log.LogEvent;

/**
 * Takes the signal that says that the settings file has changed. Without this the JVM would end the
 * process. What differs holds from the next start on: all of it concerns addresses and bounds that
 * a process keeps for its lifetime.
 */
final class HangUpSignal {

  private static final String NAME = "HUP";
  private static final String UNREADABLE = "unreadable";

  private final Path file;
  private final String inForce;

  private HangUpSignal(Path file) {
    this.file = file;
    this.inForce = read();
  }

  /**
   * Listens for the signal from now on. The JDK's class for signals lies outside its documented
   * API, so it is called by reflection; where it is missing, the signal ends the process as before.
   */
  static void listenFor(Path file) {
    HangUpSignal listener = new HangUpSignal(file);
    try {
      Class<?> signal = Class.forName("sun.misc.Signal");
      Class<?> handler = Class.forName("sun.misc.SignalHandler");
      Object proxy =
          Proxy.newProxyInstance(
              handler.getClassLoader(), new Class<?>[] {handler}, listener::onCall);
      signal
          .getMethod("handle", signal, handler)
          .invoke(null, signal.getConstructor(String.class).newInstance(NAME), proxy);
    } catch (ReflectiveOperationException | IllegalArgumentException e) {
      EventLog.warn(LogEvent.SETTINGS_READ, "file", file, "outcome", UNREADABLE, "why", e);
    }
  }

  private Object onCall(Object proxy, Method method, Object[] arguments) {
    if (method.getName().equals("handle")) {
      onSignal();
    }
    return null;
  }

  private void onSignal() {
    String now = read();
    String outcome = now.equals(inForce) ? "unchanged" : "changed";
    EventLog.info(
        LogEvent.SETTINGS_READ, "file", file, "outcome", now.isEmpty() ? UNREADABLE : outcome);
  }

  private String read() {
    try {
      return Files.readString(file);
    } catch (IOException e) {
      EventLog.warn(LogEvent.SETTINGS_READ, "file", file, "outcome", UNREADABLE, "why", e);
      return "";
    }
  }
}
