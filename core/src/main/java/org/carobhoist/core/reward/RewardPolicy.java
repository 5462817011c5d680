package org.carobhoist.core.reward;

import java.time.Duration;

/**
 * The policy by which reward calls are assigned to endpoints and retried.
 *
 * @param callsPerEndpoint maximum number of calls of one process in flight at an endpoint, at least
 *     1
 * @param loadShare maximum share of an endpoint's slots in use, including the new call, above 0 and
 *     up to 1; the rest is left to interactive callers
 * @param maxLoadWait time in the queue after which a call ignores the reported load, which may be
 *     out of date
 * @param placementInterval interval at which queued calls are checked for endpoints with free slots
 * @param initialTimeout timeout of the first attempt; grows by half with each failure
 * @param maxTimeout maximum timeout of an attempt
 * @param initialBackoff maximum backoff after the first failure; doubles with each further one
 * @param maxBackoff maximum backoff after any failure
 */
public record RewardPolicy(
    int callsPerEndpoint,
    double loadShare,
    Duration maxLoadWait,
    Duration placementInterval,
    Duration initialTimeout,
    Duration maxTimeout,
    Duration initialBackoff,
    Duration maxBackoff) {

  /** The policy of all processes. A call takes about 45 ms at an idle endpoint. */
  public static final RewardPolicy DEFAULT =
      new RewardPolicy(
          2,
          0.7,
          Duration.ofMillis(400),
          Duration.ofMillis(20),
          Duration.ofMillis(600),
          Duration.ofMillis(2_000),
          Duration.ofMillis(40),
          Duration.ofMillis(800));

  /**
   * Checks the ranges.
   *
   * @throws IllegalArgumentException if a value lies outside its range
   */
  public RewardPolicy {
    if (callsPerEndpoint < 1 || loadShare <= 0 || loadShare > 1) {
      throw new IllegalArgumentException("callsPerEndpoint or loadShare is out of range");
    }
  }
}
