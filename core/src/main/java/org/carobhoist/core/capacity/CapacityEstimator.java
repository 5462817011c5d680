package org.carobhoist.core.capacity;

import java.time.Duration;

/**
 * Estimates how much load one endpoint handles well. The model is a constant latency up to a limit
 * of requests in progress, and above it a latency in proportion to the requests in progress, as at
 * a machine that shares its processor.
 *
 * <p>Samples at low load update the latency. Samples near or above the limit are compared with it:
 * if they are clearly slower, the model gives the limit directly, so it is averaged and not
 * controlled by steps, and doesn't oscillate. If they are as fast, the limit grows to one more than
 * what was in progress. Without samples the estimate fades to neutral: an unknown latency, and the
 * announced slots as the limit.
 */
public final class CapacityEstimator {

  /** Weight of a sample above low load for the latency, so that it follows a general change. */
  private static final double HIGH_LOAD_WEIGHT = 0.3;

  /** Samples above low load that are needed to lower the limit. */
  private static final double MIN_SAMPLES_TO_SHRINK = 2;

  /** Samples needed to raise it; with two the limit of a noisy endpoint came near the slots. */
  private static final double MIN_SAMPLES_TO_GROW = 3.5;

  /** Time constant of the comparison at high load, relative to that of the latency. */
  private static final int HIGH_LOAD_TIME_FACTOR = 2;

  /** Fraction of the way to the measured limit by which one sample moves it. */
  private static final double LIMIT_STEP = 0.3;

  /** Samples from which an estimate has its full weight; fewer could be outliers. */
  private static final double CONFIDENT_SAMPLES = 4;

  /** Bound of the failure share in the expected time, so that the time stays finite. */
  private static final double MAX_FAILURE_SHARE = 0.75;

  private final CapacityPolicy policy;
  private final MovingAverage latency;
  private final MovingAverage highLoadRatio;
  private final MovingAverage failureShare;
  private double limit;
  private double samples;
  private Duration sampledAt = Duration.ZERO;
  private Duration failedAt = Duration.ZERO;
  private Duration grownAt = Duration.ZERO;

  /** Creates a neutral estimator. */
  public CapacityEstimator(CapacityPolicy policy) {
    this.policy = policy;
    this.latency = new MovingAverage(policy.timeConstant());
    this.highLoadRatio =
        new MovingAverage(policy.timeConstant().multipliedBy(HIGH_LOAD_TIME_FACTOR));
    this.failureShare = new MovingAverage(policy.timeConstant());
  }

  /** Updates the estimate; {@code slots} is the announced number of slots. */
  public void onSums(LatencySums sums, int slots, Duration now) {
    if (samples > 0 && freshness(now) == 0) {
      forget();
    }
    onFailureShare(sums, now);
    if (sums.samples() == 0) {
      return;
    }
    if (samples == 0) {
      limit = slots;
    }
    double mean = sums.meanNanos();
    limit = Math.max(1, Math.min(limit, slots));
    boolean lowLoad = sums.inFlight() <= Math.max(1, policy.lowLoadShare() * limit);
    if (lowLoad || latency.isEmpty()) {
      latency.add(mean, sums.samples(), now);
    } else {
      onHighLoad(sums, mean, slots, now);
    }
    samples += sums.samples();
    sampledAt = now;
  }

  private void onHighLoad(LatencySums sums, double mean, int slots, Duration now) {
    double ratio = mean / latency.value();
    highLoadRatio.add(ratio, sums.samples(), now);
    double modelled = mean / Math.max(1, sums.inFlight() / limit);
    adjustLimit(sums, slots, now);
    latency.add(modelled, HIGH_LOAD_WEIGHT * sums.samples(), now);
  }

  private void adjustLimit(LatencySums sums, int slots, Duration now) {
    double ratio = highLoadRatio.value();
    boolean inFullUse = sums.inFlight() > limit - 1;
    boolean mayGrow =
        highLoadRatio.weight() >= MIN_SAMPLES_TO_GROW
            && now.minus(grownAt).compareTo(policy.growPeriod()) >= 0;
    if (ratio > policy.slowRatio() && highLoadRatio.weight() >= MIN_SAMPLES_TO_SHRINK) {
      double measured = Math.max(1, Math.min(slots, sums.inFlight() / ratio));
      limit += (1 - Math.pow(1 - LIMIT_STEP, sums.samples())) * (measured - limit);
    } else if (ratio < policy.growRatio() && inFullUse && mayGrow) {
      limit = Math.min(slots, Math.max(limit + 1, sums.inFlight()));
      grownAt = now;
      // What was measured at the lower limit says nothing about the new one.
      highLoadRatio.clear();
    }
  }

  private void onFailureShare(LatencySums sums, Duration now) {
    int total = sums.samples() + sums.failures();
    if (failureShare.isEmpty()) {
      failureShare.reset(0);
    }
    failureShare.add((double) sums.failures() / total, total, now);
    if (sums.failures() > 0) {
      failedAt = now;
    }
  }

  private void forget() {
    latency.clear();
    highLoadRatio.clear();
    samples = 0;
  }

  /** Returns the weight of the estimate; 0 is neutral. */
  public double confidence(Duration now) {
    return Math.min(1, samples / CONFIDENT_SAMPLES) * freshness(now);
  }

  private double freshness(Duration now) {
    return samples == 0 ? 0 : policy.freshness(now.minus(sampledAt));
  }

  /** Returns the requests in progress above which the endpoint slows down. */
  public double limit(int slots, Duration now) {
    double freshness = freshness(now);
    return freshness == 0 ? slots : slots + freshness * (Math.min(limit, slots) - slots);
  }

  /** Returns the expected latency at low load in nanoseconds; 0 if it is unknown. */
  public double latencyNanos(Duration now) {
    return freshness(now) == 0 ? 0 : latency.value();
  }

  /** Returns the share of requests that failed of late. */
  public double failureShare(Duration now) {
    boolean known = !failedAt.isZero();
    return known ? failureShare.value() * policy.freshness(now.minus(failedAt)) : 0;
  }

  /** Returns whether so many requests fail that the endpoint should be avoided. */
  public boolean isFailing(Duration now) {
    return failureShare(now) > policy.failingShare();
  }

  /**
   * Returns the expected time of a request in nanoseconds, failed attempts included.
   *
   * @param inFlight requests in progress, this one included
   * @param neutralNanos latency of an endpoint of which nothing is known
   */
  public double expectedNanos(double inFlight, int slots, double neutralNanos, Duration now) {
    double confidence = confidence(now);
    double base = neutralNanos + confidence * (latencyNanos(now) - neutralNanos);
    return expectedNanos(base, inFlight, limit(slots, now), failureShare(now));
  }

  static double expectedNanos(double base, double inFlight, double limit, double failureShare) {
    double answered = 1 - Math.min(MAX_FAILURE_SHARE, failureShare);
    return base * Math.max(1, inFlight / limit) / (answered * answered);
  }
}
