package org.carobhoist.core.limit;

import java.time.Duration;
import java.util.EnumMap;
import java.util.Map;
import org.carobhoist.core.common.Clock;
import org.carobhoist.core.common.Priority;

/**
 * Estimates how many requests an endpoint can run concurrently. Latencies are averaged over windows
 * and compared with the baseline, the lowest window mean of the same priority class, which
 * represents the unloaded endpoint. While the ratio is within the tolerance and the limit is fully
 * used, the limit grows by its square root per window; above the tolerance it shrinks in
 * proportion, by at most half per window.
 *
 * <p>An old baseline is measured again while the limit is halved for one window, so that the
 * endpoint's own queue drains. Otherwise a drifting baseline could hide an overload.
 */
final class AdaptiveLimit {

  private static final int MIN_WINDOW_SAMPLES = 20;
  private static final Duration MIN_WINDOW_DURATION = Duration.ofMillis(250);
  private static final Duration MAX_BASELINE_AGE = Duration.ofSeconds(30);
  private static final double MIN_SHRINK_FACTOR = 0.5;
  private static final double PROBE_LIMIT_FACTOR = 0.5;

  private final LimitPolicy policy;
  private final Clock clock;
  private final Map<Priority, Baseline> baselines = new EnumMap<>(Priority.class);
  private double limit;
  private double limitBeforeProbe;
  private Duration windowStart;
  private int samples;
  private boolean saturated;

  /** Lowest window mean of one priority class, and the sums of the current window. */
  private static final class Baseline {
    private double lowestMeanSeconds = Double.MAX_VALUE;
    private Duration measuredAt = Duration.ZERO;
    private double sumSeconds;
    private int count;
  }

  AdaptiveLimit(LimitPolicy policy, Clock clock) {
    this.policy = policy;
    this.clock = clock;
    this.limit = policy.initialLimit();
    this.windowStart = clock.elapsed();
  }

  /** Returns the current limit. */
  int value() {
    return (int) limit;
  }

  /** Called when an admitted request brings the endpoint to its limit. */
  void onSaturated() {
    saturated = true;
  }

  /**
   * Called with the latency of a request that the endpoint answered, or that ran beyond its
   * deadline.
   */
  void onSample(Priority priority, Duration latency) {
    Baseline b = baselines.computeIfAbsent(priority, key -> new Baseline());
    b.sumSeconds += seconds(latency);
    b.count++;
    samples++;
    Duration age = clock.elapsed().minus(windowStart);
    if (samples >= MIN_WINDOW_SAMPLES && age.compareTo(MIN_WINDOW_DURATION) >= 0) {
      closeWindow();
    }
  }

  private void closeWindow() {
    boolean probing = limitBeforeProbe > 0;
    double ratio = updateBaselines(probing);
    if (probing) {
      limit = limitBeforeProbe;
      limitBeforeProbe = 0;
    }
    adjustLimit(ratio);
    if (saturated && isBaselineOutdated()) {
      startBaselineProbe();
    }
    samples = 0;
    saturated = false;
    windowStart = clock.elapsed();
  }

  /**
   * Updates the baselines from the window that ends and starts a new one; returns the mean ratio of
   * the window's latencies to the baselines.
   */
  private double updateBaselines(boolean probing) {
    double sum = 0;
    int count = 0;
    for (Baseline b : baselines.values()) {
      if (b.count == 0) {
        continue;
      }
      double mean = b.sumSeconds / b.count;
      if (mean <= b.lowestMeanSeconds || probing) {
        b.lowestMeanSeconds = Math.max(mean, Double.MIN_NORMAL);
        b.measuredAt = clock.elapsed();
      }
      sum += b.count * mean / b.lowestMeanSeconds;
      count += b.count;
      b.sumSeconds = 0;
      b.count = 0;
    }
    return sum / count;
  }

  private void adjustLimit(double ratio) {
    if (ratio > policy.latencyTolerance()) {
      limit *= Math.max(MIN_SHRINK_FACTOR, policy.latencyTolerance() / ratio);
    } else if (saturated) {
      limit += Math.sqrt(limit);
    }
    limit = Math.max(policy.minLimit(), Math.min(policy.maxLimit(), limit));
  }

  private boolean isBaselineOutdated() {
    Duration oldestAllowed = clock.elapsed().minus(MAX_BASELINE_AGE);
    return baselines.values().stream().anyMatch(b -> b.measuredAt.compareTo(oldestAllowed) < 0);
  }

  private void startBaselineProbe() {
    limitBeforeProbe = limit;
    limit = Math.max(policy.minLimit(), limit * PROBE_LIMIT_FACTOR);
  }

  private static double seconds(Duration d) {
    return d.toNanos() / 1e9;
  }
}
