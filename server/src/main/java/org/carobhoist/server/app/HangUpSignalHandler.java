package org.carobhoist.server.app;

import java.io.IOException;
import java.lang.reflect.Method;
import java.lang.reflect.Proxy;
import java.nio.file.Files;
import java.nio.file.Path;
import org.carobhoist.server.log.EventLog;
import org.carobhoist.server.log.LogEvent;

/**
 * Handles the hang-up signal, which says that the settings file has changed; without a handler the
 * JVM would exit. The handler only logs whether the file differs. Changes take effect at the next
 * start, because the settings are addresses and bounds that a process keeps for its lifetime.
 */
final class HangUpSignalHandler {

  private static final String NAME = "HUP";
  private static final String UNREADABLE = "unreadable";

  private final Path file;
  private final String loadedText;

  private HangUpSignalHandler(Path file) {
    this.file = file;
    this.loadedText = read();
  }

  /**
   * Registers a handler for the signal. The JDK's signal class is not part of its documented API,
   * so it is called by reflection; where it is missing, the signal still ends the process.
   */
  static void listenFor(Path file) {
    HangUpSignalHandler listener = new HangUpSignalHandler(file);
    try {
      Class<?> signal = Class.forName("sun.misc.Signal");
      Class<?> handler = Class.forName("sun.misc.SignalHandler");
      Object proxy =
          Proxy.newProxyInstance(
              handler.getClassLoader(), new Class<?>[] {handler}, listener::onProxyCall);
      signal
          .getMethod("handle", signal, handler)
          .invoke(null, signal.getConstructor(String.class).newInstance(NAME), proxy);
    } catch (ReflectiveOperationException | IllegalArgumentException e) {
      EventLog.warn(LogEvent.SETTINGS_READ, "file", file, "outcome", UNREADABLE, "why", e);
    }
  }

  private Object onProxyCall(Object proxy, Method method, Object[] arguments) {
    if (method.getName().equals("handle")) {
      onSignal();
    }
    return null;
  }

  private void onSignal() {
    String currentText = read();
    String outcome = currentText.equals(loadedText) ? "unchanged" : "changed";
    EventLog.info(
        LogEvent.SETTINGS_READ,
        "file",
        file,
        "outcome",
        currentText.isEmpty() ? UNREADABLE : outcome);
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
