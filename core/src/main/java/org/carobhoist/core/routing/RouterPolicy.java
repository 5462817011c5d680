package org.carobhoist.core.routing;

import java.time.Duration;

/**
 * Parameters of endpoint selection.
 *
 * @param imbalance most load that prefix affinity puts on an endpoint, as a multiple of the mean
 * @param ejectedShare largest share of a service's endpoints that may be ejected, from 0 to 0.5
 * @param failures consecutive failures after which an endpoint is ejected, at least 1
 * @param slowness multiple of its peers' median latency above which an endpoint is ejected
 * @param ejection duration of the first ejection; doubles with each failed probe
 */
public record RouterPolicy(
    double imbalance, double ejectedShare, int failures, double slowness, Duration ejection) {

  /** The policy of all entries and gateways. */
  public static final RouterPolicy DEFAULT =
      new RouterPolicy(1.2, 0.34, 5, 4, Duration.ofSeconds(5));

  /**
   * Validates the ranges.
   *
   * @throws IllegalArgumentException if a value lies outside its range
   */
  public RouterPolicy {
    boolean shares = imbalance >= 1 && ejectedShare >= 0 && ejectedShare <= 0.5;
    if (!shares || failures < 1 || slowness <= 1 || ejection.isNegative() || ejection.isZero()) {
      throw new IllegalArgumentException("a value of the router policy is out of range");
    }
  }
}
