package org.carobhoist.core.capacity;

import java.time.Duration;

/**
 * Parameters of capacity estimation.
 *
 * @param timeConstant time constant of the moving averages; 0.8 s follows a step within 2 s
 * @param fadeStart age of the newest sample from which an estimate returns to neutral; with 3 s a
 *     recovered endpoint got 18% of the requests instead of 25% in a simulation
 * @param fadeEnd age of the newest sample at which an estimate is neutral
 * @param slowRatio ratio of the latency to the latency at low load above which an endpoint is over
 *     its limit
 * @param growRatio ratio below which an endpoint at its limit may get one more request
 * @param lowLoadShare share of the limit up to which the latency counts as that at low load
 * @param growPeriod minimum time between two increases of the limit
 * @param failingShare share of failed requests above which an endpoint counts as failing
 * @param equalRatio ratio of expected times below which two endpoints count as equally fast
 */
public record CapacityPolicy(
    Duration timeConstant,
    Duration fadeStart,
    Duration fadeEnd,
    double slowRatio,
    double growRatio,
    double lowLoadShare,
    Duration growPeriod,
    double failingShare,
    double equalRatio) {

  /** The policy for requests. */
  public static final CapacityPolicy DEFAULT =
      new CapacityPolicy(
          Duration.ofMillis(800),
          Duration.ofMillis(1_500),
          Duration.ofSeconds(8),
          1.3,
          1.12,
          0.7,
          Duration.ofMillis(500),
          0.4,
          1.25);

  /** Returns the weight of an estimate by the age of its newest sample, from 1 down to 0. */
  double freshness(Duration age) {
    double fading = age.minus(fadeStart).toNanos();
    double length = fadeEnd.minus(fadeStart).toNanos();
    return Math.max(0, Math.min(1, 1 - fading / length));
  }
}
