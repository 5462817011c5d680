package org.carobhoist.core.limit;

import java.time.Duration;

/**
 * Estimates how long an endpoint takes for a request of one priority class, from a moving average
 * and a moving mean deviation, as TCP does for its retransmission timeout.
 */
final class ServiceTime {

  private static final double MEAN_GAIN = 0.125;
  private static final double DEVIATION_GAIN = 0.25;
  private static final double DEVIATIONS = 2;

  private double meanNanos;
  private double deviationNanos;
  private boolean known;

  void onSample(Duration took) {
    double nanos = took.toNanos();
    if (!known) {
      known = true;
      meanNanos = nanos;
      deviationNanos = nanos / 2;
      return;
    }
    deviationNanos += DEVIATION_GAIN * (Math.abs(nanos - meanNanos) - deviationNanos);
    meanNanos += MEAN_GAIN * (nanos - meanNanos);
  }

  /** Returns the mean service time; zero before the first sample. */
  Duration mean() {
    return Duration.ofNanos((long) meanNanos);
  }

  /** Returns a time within which most requests end; zero before the first sample. */
  Duration safe() {
    return Duration.ofNanos((long) (meanNanos + DEVIATIONS * deviationNanos));
  }
}
