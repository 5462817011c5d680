package org.carobhoist.core.rollout;

import java.time.Duration;
import org.carobhoist.core.common.WeightVersion;

/**
 * Estimates how often a trainer changes its weight version, from the versions that its requests
 * name, and how long its steps and samples take to generate. The predictions decide which samples
 * of a prepared step to start and which attempts to cancel early. They never decide whether a
 * sample is fresh enough to be delivered.
 */
public final class TrainerPace {

  private static final double SMOOTHING = 0.3;
  private static final double MIN_IDLE_WEIGHT_WITHOUT_WAIT = 0.5;
  private static final Duration MAX_SWAP_WAIT = Duration.ofSeconds(20);
  private static final double FINE_SMOOTHING = 0.02;
  private static final double MAX_TOKENS_DECAY = 0.999;
  private static final double STEP_DECAY = 0.95;

  private WeightVersion version;
  private Duration changedAt = Duration.ZERO;
  private double intervalNanos;
  private double stepNanos;
  private double tokensPerSecond;
  private double meanTokens;
  private double maxTokens;

  private TrainerPace() {}

  /** Creates the estimates for a trainer without any measurements yet. */
  public static TrainerPace create() {
    return new TrainerPace();
  }

  /** Called when a request has named the trainer's version. */
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

  /**
   * Called when all samples of a step are complete, with the time since its first attempt started.
   */
  public void onStepCompleted(Duration time) {
    stepNanos = Math.max(time.toNanos(), STEP_DECAY * stepNanos);
  }

  /** Returns the version that the trainer is expected to have at the given time. */
  public WeightVersion expectedVersionAt(Duration time) {
    if (intervalNanos <= 0) {
      return version;
    }
    long versionsAhead = (long) (time.minus(changedAt).toNanos() / intervalNanos);
    return new WeightVersion(version.number() + Math.max(0, versionsAhead));
  }

  /**
   * Returns the latest time to start a step that must be complete at the trainer's next version.
   */
  public Duration latestStart() {
    if (intervalNanos <= 0 || stepNanos <= 0) {
      return Duration.ZERO;
    }
    double start = changedAt.toNanos() + intervalNanos - stepNanos;
    return Duration.ofNanos((long) Math.max(0, start));
  }

  /** Called when a sample has finished, with its tokens and its attempt's tokens per second. */
  public void onSample(int tokens, double perSecond) {
    tokensPerSecond = smoothFinely(tokensPerSecond, perSecond);
    meanTokens = smoothFinely(meanTokens, tokens);
    maxTokens = Math.max(tokens, MAX_TOKENS_DECAY * maxTokens);
  }

  /** Returns the average tokens per second of an attempt; 0 if unknown. */
  public double tokensPerSecond() {
    return tokensPerSecond;
  }

  /**
   * Returns the expected number of tokens of a sample: its trainer's hint, or the average if the
   * hint is 0.
   */
  public double expectedTokens(int hint) {
    return hint > 0 ? hint : meanTokens;
  }

  /**
   * Returns whether a sample that is needed only at the trainer's next version should wait for that
   * version. Below an idle weight of one half the shorter samples wait, so that they are generated
   * entirely with the newest weights, while the longest ones, which would delay the trainer most,
   * start at once. At an idle weight of 0 every sample waits.
   *
   * @param hint expected number of tokens of the sample; 0 if unknown
   */
  public boolean shouldWaitForNextVersion(double idleWeight, int hint) {
    double maxWaitingTokens = (1 - idleWeight / MIN_IDLE_WEIGHT_WITHOUT_WAIT) * maxTokens;
    return maxWaitingTokens > 0 && expectedTokens(hint) <= maxWaitingTokens;
  }

  /**
   * Returns until when samples that the trainer needs now should wait for engines that serve its
   * version, since a weight swap takes some time to reach all engines. At an idle weight of one
   * half or more they don't wait.
   */
  public Duration swapWaitDeadline(double idleWeight) {
    double share = Math.max(0, 1 - idleWeight / MIN_IDLE_WEIGHT_WITHOUT_WAIT);
    return changedAt.plusNanos((long) (share * MAX_SWAP_WAIT.toNanos()));
  }

  private static double smoothFinely(double mean, double value) {
    return mean == 0 ? value : mean + FINE_SMOOTHING * (value - mean);
  }

  private static double smooth(double mean, double value) {
    return mean == 0 ? value : mean + SMOOTHING * (value - mean);
  }
}
