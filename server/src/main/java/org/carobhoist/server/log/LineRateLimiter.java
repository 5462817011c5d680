package org.carobhoist.server.log;

import java.util.function.LongSupplier;

/**
 * Limits the rate of log lines per event, so that a flood of one event neither hides the others nor
 * uses up processor time. Dropped lines are counted, and the count is reported with the next line
 * of the event.
 */
final class LineRateLimiter {

  private static final long NANOS_PER_SECOND = 1_000_000_000L;

  private final int perSecond;
  private final LongSupplier nanos;
  private final long[] second = new long[LogEvent.values().length];
  private final int[] written = new int[LogEvent.values().length];
  private final int[] dropped = new int[LogEvent.values().length];

  /**
   * Creates a limiter.
   *
   * @param perSecond maximum number of lines per event and second, at least 1
   * @param nanos a monotonic clock, in nanoseconds
   */
  LineRateLimiter(int perSecond, LongSupplier nanos) {
    this.perSecond = perSecond;
    this.nanos = nanos;
  }

  /**
   * Requests permission to write a line.
   *
   * @return the number of lines dropped since the last written one, or -1 if this line must be
   *     dropped
   */
  synchronized int acquire(LogEvent event) {
    int i = event.ordinal();
    long now = nanos.getAsLong() / NANOS_PER_SECOND;
    if (second[i] != now) {
      second[i] = now;
      written[i] = 0;
    }
    if (written[i] >= perSecond) {
      dropped[i]++;
      return -1;
    }
    written[i]++;
    int droppedBefore = dropped[i];
    dropped[i] = 0;
    return droppedBefore;
  }
}
