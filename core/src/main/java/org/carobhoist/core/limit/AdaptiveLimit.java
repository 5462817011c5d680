package org.carobhoist.core.limit;

import java.time.Duration;
import java.util.EnumMap;
import java.util.Map;
import org.carobhoist.core.common.Clock;
import org.carobhoist.core.common.Priority;

/**
 * Finds how many requests an endpoint can run at once. Latencies are averaged over windows and
 * compared with the lowest window of the same priority class, which stands for the unloaded
 * endpoint. While the ratio stays within the tolerance and the limit is in full use, the limit
 * grows by its square root; above it the limit shrinks in proportion, at most by half in a window.
 * A baseline that has grown old is measured again: for one window the limit is halved, so that the
 * endpoint's own queue empties and a drift of the baseline can't hide an overload.
 */
final class AdaptiveLimit {

  private static final int WINDOW_SAMPLES = 20;
  private static final Duration WINDOW_TIME = Duration.ofMillis(250);
  private static final Duration BASELINE_AGE = Duration.ofSeconds(30);
  private static final double LARGEST_CUT = 0.5;
  private static final double PROBE_CUT = 0.5;

  private final LimitPolicy policy;
  private final Clock clock;
  private final Map<Priority, Baseline> baselines = new EnumMap<>(Priority.class);
  private double limit;
  private double limitBeforeProbe;
  private Duration windowStart;
  private int samples;
  private boolean saturated;

  /** Lowest window of one class, and the window that is being filled. */
  private static final class Baseline {
    private double lowestSeconds = Double.MAX_VALUE;
    private Duration measured = Duration.ZERO;
    private double sumSeconds;
    private int count;
  }

  AdaptiveLimit(LimitPolicy policy, Clock clock) {
    this.policy = policy;
    this.clock = clock;
    this.limit = policy.initial();
    this.windowStart = clock.elapsed();
  }

  /** Returns the present limit. */
  int value() {
    return (int) limit;
  }

  /** Notes that a request found the limit in full use. */
  void onSaturated() {
    saturated = true;
  }

  /** Takes the latency of a request that the endpoint answered, or that outlived its deadline. */
  void onSample(Priority priority, Duration latency) {
    Baseline b = baselines.computeIfAbsent(priority, key -> new Baseline());
    b.sumSeconds += seconds(latency);
    b.count++;
    samples++;
    Duration age = clock.elapsed().minus(windowStart);
    if (samples >= WINDOW_SAMPLES && age.compareTo(WINDOW_TIME) >= 0) {
      closeWindow();
    }
  }

  private void closeWindow() {
    boolean probed = limitBeforeProbe > 0;
    double ratio = takeRatio(probed);
    if (probed) {
      limit = limitBeforeProbe;
      limitBeforeProbe = 0;
    }
    adapt(ratio);
    if (saturated && isBaselineOld()) {
      beginProbe();
    }
    samples = 0;
    saturated = false;
    windowStart = clock.elapsed();
  }

  /** Returns how far the window's latencies lie above the baselines, and renews these. */
  private double takeRatio(boolean probed) {
    double sum = 0;
    int count = 0;
    for (Baseline b : baselines.values()) {
      if (b.count == 0) {
        continue;
      }
      double mean = b.sumSeconds / b.count;
      if (mean <= b.lowestSeconds || probed) {
        b.lowestSeconds = Math.max(mean, Double.MIN_NORMAL);
        b.measured = clock.elapsed();
      }
      sum += b.count * mean / b.lowestSeconds;
      count += b.count;
      b.sumSeconds = 0;
      b.count = 0;
    }
    return sum / count;
  }

  private void adapt(double ratio) {
    if (ratio > policy.tolerance()) {
      limit *= Math.max(LARGEST_CUT, policy.tolerance() / ratio);
    } else if (saturated) {
      limit += Math.sqrt(limit);
    }
    limit = Math.max(policy.min(), Math.min(policy.max(), limit));
  }

  private boolean isBaselineOld() {
    Duration oldest = clock.elapsed().minus(BASELINE_AGE);
    return baselines.values().stream().anyMatch(b -> b.measured.compareTo(oldest) < 0);
  }

  private void beginProbe() {
    limitBeforeProbe = limit;
    limit = Math.max(policy.min(), limit * PROBE_CUT);
  }

  private static double seconds(Duration d) {
    return d.toNanos() / 1e9;
  }
}
