package org.carobhoist.core.limit;

import java.time.Duration;

/**
 * Estimates how long an endpoint takes for a request of one priority class, from a moving average
 * and a moving mean deviation, as TCP does for its retransmission timeout.
 */
final class ServiceTimeEstimator {

  private static final double MEAN_WEIGHT = 0.125;
  private static final double DEVIATION_WEIGHT = 0.25;
  private static final double UPPER_BOUND_DEVIATIONS = 2;

  private double meanNanos;
  private double deviationNanos;
  private boolean hasSample;

  void onSample(Duration serviceTime) {
    double nanos = serviceTime.toNanos();
    if (!hasSample) {
      hasSample = true;
      meanNanos = nanos;
      deviationNanos = nanos / 2;
      return;
    }
    deviationNanos += DEVIATION_WEIGHT * (Math.abs(nanos - meanNanos) - deviationNanos);
    meanNanos += MEAN_WEIGHT * (nanos - meanNanos);
  }

  /** Returns the mean service time; zero before the first sample. */
  Duration mean() {
    return Duration.ofNanos((long) meanNanos);
  }

  /** Returns a time within which most requests end; zero before the first sample. */
  Duration upperBound() {
    return Duration.ofNanos((long) (meanNanos + UPPER_BOUND_DEVIATIONS * deviationNanos));
  }
}
