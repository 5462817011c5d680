package org.carobhoist.core.limit;

import java.time.Duration;

/**
 * Parameters of a sidecar's admission control.
 *
 * @param initial concurrency limit at startup, at least 1
 * @param min lowest concurrency limit, at least 1
 * @param max highest concurrency limit
 * @param queueLength most requests that may wait, at least 0
 * @param queueTime longest wait of a request
 * @param tolerance multiple of the unloaded latency up to which the limit may grow, above 1
 * @param rolloutShare share of the slots that is guaranteed to waiting rollouts, from 0 to 0.5
 * @param reserve share of the slots that rollouts leave free for other requests, from 0 to 0.5
 */
public record LimitPolicy(
    int initial,
    int min,
    int max,
    int queueLength,
    Duration queueTime,
    double tolerance,
    double rolloutShare,
    double reserve) {

  private static final double DEFAULT_TOLERANCE = 2;
  private static final double DEFAULT_ROLLOUT_SHARE = 0.1;
  private static final double DEFAULT_RESERVE = 0.1;
  private static final double MAX_SHARE = 0.5;

  /**
   * Validates the ranges.
   *
   * @throws IllegalArgumentException if values are out of range or contradict each other
   */
  public LimitPolicy {
    if (min < 1 || max < min || initial < min || initial > max || queueLength < 0) {
      throw new IllegalArgumentException("limits are inconsistent or out of range");
    }
    if (tolerance <= 1 || !isShare(rolloutShare) || !isShare(reserve)) {
      throw new IllegalArgumentException("tolerance or a share is out of range");
    }
  }

  /** Creates a policy with the default tolerance and shares. */
  public LimitPolicy(int initial, int min, int max, int queueLength, Duration queueTime) {
    this(
        initial,
        min,
        max,
        queueLength,
        queueTime,
        DEFAULT_TOLERANCE,
        DEFAULT_ROLLOUT_SHARE,
        DEFAULT_RESERVE);
  }

  private static boolean isShare(double value) {
    return value >= 0 && value <= MAX_SHARE;
  }
}
