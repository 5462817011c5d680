package org.carobhoist.core.usage;

import java.time.Duration;

/**
 * Timing parameters of usage reports.
 *
 * @param window length of a window; window k begins k lengths after the start of 1970
 * @param reportDue time after the end of a window by which its report is due
 * @param decisionDelay time after the end of a window at which its counts are decided; counts that
 *     arrive later are lost
 * @param settleTime time for which a new coordinator waits for the reports of the gateways before
 *     it decides windows and uses their clocks
 * @param checkpointInterval minimum time between two checkpoints of undecided counts
 * @param reportInterval minimum time between two reports of a gateway to the coordinator
 * @param maxWindows number of undecided windows that a gateway keeps
 */
public record UsagePolicy(
    Duration window,
    Duration reportDue,
    Duration decisionDelay,
    Duration settleTime,
    Duration checkpointInterval,
    Duration reportInterval,
    int maxWindows) {

  /** Share of the time until a report is due after which the window is decided. */
  private static final double DECISION_SHARE = 0.3;

  /**
   * Returns the default policy for the given window length and time until a report is due.
   *
   * @throws IllegalArgumentException if the length isn't positive
   */
  public static UsagePolicy of(Duration window, Duration reportDue) {
    return new UsagePolicy(
        window,
        reportDue,
        Duration.ofMillis((long) (reportDue.toMillis() * DECISION_SHARE)),
        Duration.ofSeconds(2),
        Duration.ofSeconds(1),
        Duration.ofMillis(500),
        60);
  }

  /** Checks that the length of a window is positive. */
  public UsagePolicy {
    if (window.toMillis() <= 0) {
      throw new IllegalArgumentException("the length of a window must be positive: " + window);
    }
  }

  /** Returns the window of a time in milliseconds since the start of 1970. */
  public long windowAt(long millis) {
    return Math.floorDiv(millis, window.toMillis());
  }

  /** Returns the end of a window in milliseconds since the start of 1970. */
  public long endOf(long number) {
    return (number + 1) * window.toMillis();
  }
}
