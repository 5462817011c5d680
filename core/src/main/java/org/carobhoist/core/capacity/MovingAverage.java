package org.carobhoist.core.capacity;

import java.time.Duration;

/**
 * Average whose samples lose weight exponentially with time. The weight doesn't fall below that of
 * two samples, so that one outlier after a pause doesn't replace the average.
 */
final class MovingAverage {

  private static final double MIN_WEIGHT = 2;

  private final Duration timeConstant;
  private double value;
  private double weight;
  private Duration updatedAt = Duration.ZERO;

  MovingAverage(Duration timeConstant) {
    this.timeConstant = timeConstant;
  }

  void add(double sample, double sampleWeight, Duration now) {
    double age = Math.max(0, now.minus(updatedAt).toNanos());
    double decayed = weight * Math.exp(-age / timeConstant.toNanos());
    weight = Math.max(decayed, Math.min(weight, MIN_WEIGHT)) + sampleWeight;
    value += sampleWeight / weight * (sample - value);
    updatedAt = now;
  }

  /** Sets the value with the weight of a few samples. */
  void reset(double newValue) {
    value = newValue;
    weight = MIN_WEIGHT;
  }

  void clear() {
    weight = 0;
    value = 0;
  }

  /** Returns the weight of the samples in the average, in samples. */
  double weight() {
    return weight;
  }

  double value() {
    return value;
  }

  boolean isEmpty() {
    return weight == 0;
  }
}
