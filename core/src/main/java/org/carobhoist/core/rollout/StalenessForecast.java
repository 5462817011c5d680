package org.carobhoist.core.rollout;

import java.time.Duration;
import org.carobhoist.core.common.WeightVersion;

/**
 * Predicts which attempts will be too stale when the trainer receives them. Most trainers keep
 * their weight version until they have received the step. A trainer that has once changed it within
 * a step is assumed to do so again, at the rate that {@link TrainerPace} has measured.
 */
final class StalenessForecast {

  private static final double MIN_SHARE_OF_AVERAGE_RATE = 0.5;
  private static final double NANOS_PER_SECOND = 1e9;

  private final RolloutPolicy policy;
  private final TrainerPace pace;
  private boolean advancesWithinStep;

  StalenessForecast(RolloutPolicy policy, TrainerPace pace) {
    this.policy = policy;
    this.pace = pace;
  }

  /** Called when the trainer's version has changed between two requests for the same step. */
  void onNewVersion(StepRequest previous, StepRequest next) {
    advancesWithinStep |= !previous.prepare() && !next.prepare();
  }

  /**
   * Returns whether the attempt's oldest token is expected to be too stale at delivery.
   *
   * @param hint tokens that the sample is expected to have; 0 if unknown
   */
  boolean willBeTooStale(AttemptTracker tracker, StepRequest request, int hint, Duration now) {
    return tracker.oldest.isPresent()
        && !policy.isFresh(tracker.oldest.get(), expectedVersion(tracker, request, hint, now));
  }

  private WeightVersion expectedVersion(
      AttemptTracker tracker, StepRequest request, int hint, Duration now) {
    if (request.prepare()) {
      return new WeightVersion(request.trainerVersion().number() + 1);
    }
    return advancesWithinStep
        ? pace.expectedVersionAt(expectedEnd(tracker, hint, now))
        : request.trainerVersion();
  }

  /**
   * Returns when the attempt is expected to end. A higher idle weight shortens the estimate, so
   * that fewer attempts are expected to be too stale.
   */
  private Duration expectedEnd(AttemptTracker tracker, int hint, Duration now) {
    double minRate = MIN_SHARE_OF_AVERAGE_RATE * pace.tokensPerSecond();
    double rate = Math.max(tracker.rate(), minRate);
    double remainingTokens = Math.max(0, pace.expectedTokens(hint) - tracker.generated);
    double seconds = rate <= 0 ? 0 : (1 - policy.idleWeight()) * remainingTokens / rate;
    return now.plusNanos((long) (seconds * NANOS_PER_SECOND));
  }
}
