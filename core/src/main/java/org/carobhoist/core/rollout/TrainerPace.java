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
  private static final double WEIGHT_OF_EARLY_START = 0.5;
  private static final double STEP_DECAY = 0.95;

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
    stepNanos = Math.max(time.toNanos(), STEP_DECAY * stepNanos);
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
   * Returns when to begin a step that the trainer wants at its next version. From an idle weight of
   * one half on that is at once: the step is made with the present version either way, and an early
   * start keeps the trainer from waiting. With a lower weight the step begins later, so that part
   * of it is made with the next version; with 0 all of it is.
   */
  public Duration beginAt(double idleWeight) {
    return idleWeight >= WEIGHT_OF_EARLY_START
        ? Duration.ZERO
        : beforeNextVersion(idleWeight / WEIGHT_OF_EARLY_START);
  }

  /** Returns the latest time to begin a step that is to be whole at the trainer's next version. */
  public Duration latestBegin() {
    return beforeNextVersion(1);
  }

  private Duration beforeNextVersion(double steps) {
    if (intervalNanos <= 0 || stepNanos <= 0) {
      return Duration.ZERO;
    }
    double begin = changedAt.toNanos() + intervalNanos - steps * stepNanos;
    return Duration.ofNanos((long) Math.max(0, begin));
  }

  private static double smooth(double mean, double value) {
    return mean == 0 ? value : mean + SMOOTHING * (value - mean);
  }
}
