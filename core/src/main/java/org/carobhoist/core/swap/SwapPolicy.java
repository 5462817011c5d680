package org.carobhoist.core.swap;

import java.time.Duration;

/**
 * Timing of weight swaps.
 *
 * @param waves number of waves in which the engines of a model load, at least 1
 * @param waveInterval time from one wave to the next
 * @param firstBackOff backoff after the first failure; doubles with each further one
 * @param maxBackOff maximum backoff after a failure
 * @param probePeriod interval at which the version that an engine serves is read while no swap is
 *     in progress
 * @param callTimeout time after which an unanswered call to the engine counts as failed
 * @param pauseLimit gap between two ticks above which this process assumes that it was paused, and
 *     reads the log again before it lets the engine load
 */
public record SwapPolicy(
    int waves,
    Duration waveInterval,
    Duration firstBackOff,
    Duration maxBackOff,
    Duration probePeriod,
    Duration callTimeout,
    Duration pauseLimit) {

  /** The default policy, with which all servers have new weights within 13 s. */
  public static final SwapPolicy DEFAULT =
      new SwapPolicy(
          4,
          Duration.ofMillis(2_500),
          Duration.ofMillis(250),
          Duration.ofSeconds(2),
          Duration.ofSeconds(5),
          Duration.ofSeconds(5),
          Duration.ofSeconds(2));

  /**
   * Checks the number of waves.
   *
   * @throws IllegalArgumentException if it is below 1
   */
  public SwapPolicy {
    if (waves < 1) {
      throw new IllegalArgumentException("waves must be at least 1: " + waves);
    }
  }
}
