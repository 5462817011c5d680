package org.carobhoist.core.rollout;

import java.time.Duration;
import org.carobhoist.core.common.WeightVersion;

/**
 * How fast a trainer moves from version to version, measured from the versions that its requests
 * name, and how long its steps and samples take to make. The predictions say which samples of a
 * prepared step to begin and what to give up early; they never let a sample through.
 */
public final class TrainerPace {

  private static final double SMOOTHING = 0.3;
  private static final double WEIGHT_WITHOUT_WAIT = 0.5;
  private static final Duration LONGEST_SWAP_WAIT = Duration.ofSeconds(20);
  private static final double FINE_SMOOTHING = 0.02;
  private static final double LONGEST_DECAY = 0.999;
  private static final double STEP_DECAY = 0.95;

  private WeightVersion version;
  private Duration changedAt = Duration.ZERO;
  private double intervalNanos;
  private double stepNanos;
  private double tokensPerSecond;
  private double meanTokens;
  private double longestTokens;

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

  /** Returns the latest time to begin a step that is to be whole at the trainer's next version. */
  public Duration latestBegin() {
    if (intervalNanos <= 0 || stepNanos <= 0) {
      return Duration.ZERO;
    }
    double begin = changedAt.toNanos() + intervalNanos - stepNanos;
    return Duration.ofNanos((long) Math.max(0, begin));
  }

  /** Takes the tokens of a whole sample, and how many a second its attempt made. */
  public void onSample(int tokens, double perSecond) {
    tokensPerSecond = smoothFinely(tokensPerSecond, perSecond);
    meanTokens = smoothFinely(meanTokens, tokens);
    longestTokens = Math.max(tokens, LONGEST_DECAY * longestTokens);
  }

  /** Returns the tokens a second of a usual attempt; 0 if unknown. */
  public double tokensPerSecond() {
    return tokensPerSecond;
  }

  /**
   * Returns the tokens that a sample is expected to have, from its trainer's hint if it has one.
   */
  public double expectedTokens(int hint) {
    return hint > 0 ? hint : meanTokens;
  }

  /**
   * Returns whether a sample that the trainer wants only at its next version had better wait for
   * that version. Below an idle weight of one half the shorter samples wait, so that they are made
   * whole with the newest weights, while the longest ones, which would keep the trainer waiting
   * most, begin at once. At 0 every sample waits.
   *
   * @param hint tokens that the sample is expected to have; 0 if unknown
   */
  public boolean waitsForNextVersion(double idleWeight, int hint) {
    double allowed = (1 - idleWeight / WEIGHT_WITHOUT_WAIT) * longestTokens;
    return allowed > 0 && expectedTokens(hint) <= allowed;
  }

  /**
   * Returns until when samples that the trainer wants now had better wait for engines that serve
   * its version, since a swap takes a while to reach them; below an idle weight of one half only.
   */
  public Duration awaitsSwapUntil(double idleWeight) {
    double share = Math.max(0, 1 - idleWeight / WEIGHT_WITHOUT_WAIT);
    return changedAt.plusNanos((long) (share * LONGEST_SWAP_WAIT.toNanos()));
  }

  private static double smoothFinely(double mean, double value) {
    return mean == 0 ? value : mean + FINE_SMOOTHING * (value - mean);
  }

  private static double smooth(double mean, double value) {
    return mean == 0 ? value : mean + SMOOTHING * (value - mean);
  }
}
