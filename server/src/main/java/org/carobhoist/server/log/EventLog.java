package org.carobhoist.server.log;

import org.tinylog.Logger;

/** Writes numbered events with their fields as {@code key=value} pairs. */
public final class EventLog {

  private EventLog() {}

  /**
   * Writes an event.
   *
   * @param fields keys and values by turns
   */
  public static void info(LogEvent event, Object... fields) {
    Logger.info("{}", line(event, fields));
  }

  /**
   * Writes an event that an operator should look at.
   *
   * @param fields keys and values by turns
   */
  public static void warn(LogEvent event, Object... fields) {
    Logger.warn("{}", line(event, fields));
  }

  /** Writes an event with the failure behind it. */
  public static void error(LogEvent event, Throwable failure, Object... fields) {
    Logger.error(failure, "{}", line(event, fields));
  }

  static String line(LogEvent event, Object... fields) {
    StringBuilder out = new StringBuilder("event=").append(event.number());
    out.append(" text=\"").append(event.text()).append('"');
    for (int i = 0; i + 1 < fields.length; i += 2) {
      out.append(' ').append(fields[i]).append('=').append(quote(String.valueOf(fields[i + 1])));
    }
    return out.toString();
  }

  private static String quote(String value) {
    boolean plain = !value.isEmpty() && value.chars().noneMatch(c -> c <= ' ' || c == '"');
    return plain ? value : '"' + value.replace("\"", "\\\"").replace("\n", "\\n") + '"';
  }
}
