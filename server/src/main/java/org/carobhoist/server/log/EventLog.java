package org.carobhoist.server.log;

import java.util.Arrays;
import java.util.concurrent.atomic.AtomicLongArray;
import org.carobhoist.server.settings.LogLevel;
import org.tinylog.Logger;
import org.tinylog.configuration.Configuration;
import org.tinylog.provider.ProviderRegistry;

/** Writes numbered events with their fields as {@code key=value} pairs. */
public final class EventLog {

  private static final AtomicLongArray COUNTS = new AtomicLongArray(LogEvent.values().length);

  /** Limit for one event; a step with some hundred items logs that many lines when it starts. */
  private static final int LINES_PER_SECOND = 400;

  private static final LineRateLimiter RATE_LIMITER =
      new LineRateLimiter(LINES_PER_SECOND, System::nanoTime);

  private EventLog() {}

  /** Returns how often an event was logged, including lines dropped by the level or rate limit. */
  public static long count(LogEvent event) {
    return COUNTS.get(event.ordinal());
  }

  /**
   * Sets the lowest level that is written. Has no effect after the first event, because the logging
   * library reads its configuration only once.
   */
  public static void setLevel(LogLevel level) {
    Configuration.set("level", level.name());
  }

  /**
   * Writes to standard output on a separate thread. Has no effect after the first event, because
   * the logging library reads its configuration only once.
   */
  public static void writeToStandardOutput() {
    Configuration.set("writer", "queue");
    // Otherwise the log is closed as soon as termination is requested, and the events that report
    // how the process ended are lost.
    Configuration.set("autoshutdown", "false");
  }

  /** Writes the queued lines and closes the log; nothing can be logged afterwards. */
  public static void close() {
    try {
      ProviderRegistry.getLoggingProvider().shutdown();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /**
   * Writes an event.
   *
   * @param fields alternating keys and values
   */
  public static void info(LogEvent event, Object... fields) {
    int dropped = countAndAcquire(event);
    if (dropped >= 0) {
      Logger.info("{}", line(event, withDroppedCount(dropped, fields)));
    }
  }

  /**
   * Writes an event that an operator should investigate.
   *
   * @param fields alternating keys and values
   */
  public static void warn(LogEvent event, Object... fields) {
    int dropped = countAndAcquire(event);
    if (dropped >= 0) {
      Logger.warn("{}", line(event, withDroppedCount(dropped, fields)));
    }
  }

  /**
   * Writes an event together with the exception that caused it.
   *
   * @param fields alternating keys and values
   */
  public static void error(LogEvent event, Throwable failure, Object... fields) {
    int dropped = countAndAcquire(event);
    if (dropped >= 0) {
      Logger.error(failure, "{}", line(event, withDroppedCount(dropped, fields)));
    }
  }

  private static int countAndAcquire(LogEvent event) {
    COUNTS.incrementAndGet(event.ordinal());
    return RATE_LIMITER.acquire(event);
  }

  private static Object[] withDroppedCount(int dropped, Object... fields) {
    if (dropped == 0) {
      return fields;
    }
    Object[] all = Arrays.copyOf(fields, fields.length + 2);
    all[fields.length] = "dropped";
    all[fields.length + 1] = dropped;
    return all;
  }

  static String line(LogEvent event, Object... fields) {
    StringBuilder out = new StringBuilder("event=").append(event.number());
    out.append(" text=\"").append(event.text()).append('"');
    for (int i = 0; i + 1 < fields.length; i += 2) {
      out.append(' ').append(fields[i]).append('=').append(quote(String.valueOf(fields[i + 1])));
    }
    return out.toString();
  }

  /** Quotes a value if a parser of {@code key=value} pairs couldn't read it unquoted. */
  private static String quote(String value) {
    if (!value.isEmpty() && value.chars().allMatch(EventLog::isPlain)) {
      return value;
    }
    StringBuilder out = new StringBuilder("\"");
    value.chars().forEach(c -> appendEscaped(out, (char) c));
    return out.append('"').toString();
  }

  private static boolean isPlain(int c) {
    return c > ' ' && c != '"' && c != '=' && c != '\\' && !Character.isISOControl(c);
  }

  private static void appendEscaped(StringBuilder out, char c) {
    switch (c) {
      case '"', '\\' -> out.append('\\').append(c);
      case '\n' -> out.append("\\n");
      case '\r' -> out.append("\\r");
      case '\t' -> out.append("\\t");
      default -> {
        if (Character.isISOControl(c)) {
          out.append(String.format("\\u%04x", (int) c));
        } else {
          out.append(c);
        }
      }
    }
  }
}
