package org.carobhoist.core.rollout;

import java.time.Duration;
import org.carobhoist.core.common.WeightVersion;

/**
 * How fast a trainer moves from version to version, measured from the versions that its requests
 * name, and how long its steps take to make. The predictions say when to begin a prepared step and
 * what to give up early; they never let a sample through.
 */
public final class TrainerPace {

  private static final double SMOOTHING = 0.3;

  private WeightVersion version;
  private Duration changedAt = Duration.ZERO;
  private double intervalNanos;
  private double stepNanos;

  private TrainerPace() {}

  /** Returns the pace of a trainer of which nothing is known. */
  public static TrainerPace create() {
    return new TrainerPace();
  }

  /** Takes the version that a request names. */
  public void onVersion(WeightVersion named, Duration now) {
    if (version != null && named.compareTo(version) > 0) {
      double nanos = now.minus(changedAt).toNanos();
      intervalNanos = smooth(intervalNanos, nanos / (named.number() - version.number()));
    }
    if (version == null || !named.equals(version)) {
      version = named;
      changedAt = now;
    }
  }

  /** Takes the time from the first start to the last whole sample of a step. */
  public void onStepMade(Duration time) {
    stepNanos = smooth(stepNanos, time.toNanos());
  }

  /** Returns the version that the trainer is expected to have at a time. */
  public WeightVersion versionAt(Duration time) {
    if (intervalNanos <= 0) {
      return version;
    }
    long ahead = (long) (time.minus(changedAt).toNanos() / intervalNanos);
    return new WeightVersion(version.number() + Math.max(0, ahead));
  }

  /**
   * Returns when to begin a step that the trainer needs at its next version. With an idle weight of
   * one half the step is whole just when that version is due; with a higher one it begins earlier,
   * at 1 at once; with a lower one later, at 0 only at that version.
   */
  public Duration beginAt(double idleWeight) {
    boolean unknown = intervalNanos <= 0 || stepNanos <= 0;
    if (unknown || idleWeight >= 1) {
      return Duration.ZERO;
    }
    double lead = stepNanos * idleWeight / (1 - idleWeight);
    double begin = changedAt.toNanos() + intervalNanos - lead;
    return Duration.ofNanos((long) Math.max(0, begin));
  }

  private static double smooth(double mean, double value) {
    return mean == 0 ? value : mean + SMOOTHING * (value - mean);
  }
}
