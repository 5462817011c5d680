package org.carobhoist.core.capacity;

import java.time.Duration;

/**
 * What is known about one endpoint at a moment.
 *
 * @param limit requests in progress above which the endpoint slows down; 0 if it fails its requests
 * @param latency expected latency below that limit; zero if unknown
 */
public record CapacityEstimate(int limit, Duration latency) {

  /** Returns whether the endpoint fails its requests. */
  public boolean isFailing() {
    return limit == 0;
  }

  /** Returns the larger of the ratios by which the limit and the latency differ. */
  double ratioTo(CapacityEstimate other) {
    if (isFailing() != other.isFailing() || latency.isZero() != other.latency.isZero()) {
      return Double.MAX_VALUE;
    }
    return Math.max(ratio(limit, other.limit), ratio(latency.toNanos(), other.latency.toNanos()));
  }

  private static double ratio(double a, double b) {
    return a == b ? 1 : Math.max(a, b) / Math.max(1, Math.min(a, b));
  }
}
