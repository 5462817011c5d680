package org.carobhoist.core.routing;

import java.time.Duration;

/**
 * Parameters of endpoint selection.
 *
 * @param maxImbalance most load that prefix affinity puts on an endpoint, as a multiple of the mean
 * @param maxEjectedShare largest share of a service's endpoints that may be ejected, from 0 to 0.5
 * @param failuresToEject consecutive failures after which an endpoint is ejected, at least 1
 * @param maxLatencyRatio multiple of its peers' median latency above which an endpoint is ejected
 * @param ejectionTime duration of the first ejection; doubles with each failed probe
 */
public record RouterPolicy(
    double maxImbalance,
    double maxEjectedShare,
    int failuresToEject,
    double maxLatencyRatio,
    Duration ejectionTime) {

  /** The policy of all entries and gateways. */
  public static final RouterPolicy DEFAULT =
      new RouterPolicy(1.2, 0.34, 5, 4, Duration.ofSeconds(5));

  /**
   * Validates the ranges.
   *
   * @throws IllegalArgumentException if a value lies outside its range
   */
  public RouterPolicy {
    boolean ratiosValid = maxImbalance >= 1 && maxEjectedShare >= 0 && maxEjectedShare <= 0.5;
    if (!ratiosValid
        || failuresToEject < 1
        || maxLatencyRatio <= 1
        || ejectionTime.isNegative()
        || ejectionTime.isZero()) {
      throw new IllegalArgumentException("a value of the router policy is out of range");
    }
  }
}
