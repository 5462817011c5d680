package org.carobhoist.server.log;

import java.util.function.LongSupplier;

/**
 * Bounds the lines of each event, so that a flood of one neither hides the others nor costs the
 * process its time. What is left out is counted and told with the next line of the event.
 */
final class LineBudget {

  private static final long NANOS_PER_SECOND = 1_000_000_000L;

  private final int perSecond;
  private final LongSupplier nanos;
  private final long[] second = new long[LogEvent.values().length];
  private final int[] written = new int[LogEvent.values().length];
  private final int[] dropped = new int[LogEvent.values().length];

  /**
   * Creates a full budget.
   *
   * @param perSecond lines of one event in a second, at least 1
   * @param nanos a clock that never goes back
   */
  LineBudget(int perSecond, LongSupplier nanos) {
    this.perSecond = perSecond;
    this.nanos = nanos;
  }

  /** Takes one line; returns how many were left out before it, or -1 if it is left out itself. */
  synchronized int take(LogEvent event) {
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
    int before = dropped[i];
    dropped[i] = 0;
    return before;
  }
}
