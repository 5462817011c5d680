package org.carobhoist.core.swap;

import java.time.Duration;

/**
 * Times of weight swaps.
 *
 * @param waves in how many waves the engines of a model load, at least 1
 * @param waveTime time from one wave to the next
 * @param firstBackOff wait after the first failure; doubles with each further one
 * @param maxBackOff longest wait after a failure
 * @param probePeriod time after which a settled engine is looked at again
 * @param callTimeout time after which a call to the engine counts as failed
 * @param pauseLimit gap between two ticks after which this process counts as paused, so that it
 *     reads the log again before it gives an order
 */
public record SwapPolicy(
    int waves,
    Duration waveTime,
    Duration firstBackOff,
    Duration maxBackOff,
    Duration probePeriod,
    Duration callTimeout,
    Duration pauseLimit) {

  /** The policy for new weights on all servers within 13 s. */
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
      throw new IllegalArgumentException("waves is below 1: " + waves);
    }
  }
}
