package org.carobhoist.core.limit;

import java.time.Duration;

/**
 * Parameters of a sidecar's admission control.
 *
 * @param initialLimit concurrency limit at startup, at least 1
 * @param minLimit lowest concurrency limit, at least 1
 * @param maxLimit highest concurrency limit
 * @param queueLength most requests that may wait, at least 0
 * @param maxWait longest wait of a request
 * @param latencyTolerance multiple of the unloaded latency up to which the limit may grow, above 1
 * @param rolloutShare share of the slots that is guaranteed to waiting rollouts, from 0 to 0.5
 * @param reservedShare share of the slots that rollouts leave free for others, from 0 to 0.5
 */
public record LimitPolicy(
    int initialLimit,
    int minLimit,
    int maxLimit,
    int queueLength,
    Duration maxWait,
    double latencyTolerance,
    double rolloutShare,
    double reservedShare) {

  private static final double DEFAULT_LATENCY_TOLERANCE = 2;
  private static final double DEFAULT_ROLLOUT_SHARE = 0.1;
  private static final double DEFAULT_RESERVED_SHARE = 0.1;
  private static final double MAX_SHARE = 0.5;

  /**
   * Validates the ranges.
   *
   * @throws IllegalArgumentException if values are out of range or contradict each other
   */
  public LimitPolicy {
    if (minLimit < 1
        || maxLimit < minLimit
        || initialLimit < minLimit
        || initialLimit > maxLimit
        || queueLength < 0) {
      throw new IllegalArgumentException("limits are inconsistent or out of range");
    }
    if (latencyTolerance <= 1 || !isShare(rolloutShare) || !isShare(reservedShare)) {
      throw new IllegalArgumentException("tolerance or a share is out of range");
    }
  }

  /** Creates a policy with the default tolerance and shares. */
  public LimitPolicy(
      int initialLimit, int minLimit, int maxLimit, int queueLength, Duration maxWait) {
    this(
        initialLimit,
        minLimit,
        maxLimit,
        queueLength,
        maxWait,
        DEFAULT_LATENCY_TOLERANCE,
        DEFAULT_ROLLOUT_SHARE,
        DEFAULT_RESERVED_SHARE);
  }

  private static boolean isShare(double value) {
    return value >= 0 && value <= MAX_SHARE;
  }
}
