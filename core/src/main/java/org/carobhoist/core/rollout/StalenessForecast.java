package org.carobhoist.core.rollout;

import java.time.Duration;
import org.carobhoist.core.common.WeightVersion;

/**
 * Predicts which attempts will be too stale when the trainer receives them. Most trainers keep
 * their weight version until they have received the step. A trainer that has once changed it within
 * a step is assumed to do so again, at the rate that {@link TrainerPace} has measured.
 */
final class StalenessForecast {

  private static final double LEAST_SHARE_OF_USUAL_RATE = 0.5;
  private static final double NANOS_PER_SECOND = 1e9;

  private final RolloutPolicy policy;
  private final TrainerPace pace;
  private boolean movesOn;

  StalenessForecast(RolloutPolicy policy, TrainerPace pace) {
    this.policy = policy;
    this.pace = pace;
  }

  /** Called when the trainer's version has changed between two requests for the same step. */
  void onNewVersion(StepRequest previous, StepRequest next) {
    movesOn |= !previous.prepare() && !next.prepare();
  }

  /**
   * Returns whether the attempt's oldest token is expected to be too stale at delivery.
   *
   * @param hint tokens that the sample is expected to have; 0 if unknown
   */
  boolean isDoomed(Flight flight, StepRequest request, int hint, Duration now) {
    return flight.oldest.isPresent()
        && !policy.isFresh(flight.oldest.get(), expectedVersion(flight, request, hint, now));
  }

  private WeightVersion expectedVersion(
      Flight flight, StepRequest request, int hint, Duration now) {
    if (request.prepare()) {
      return new WeightVersion(request.trainerVersion().number() + 1);
    }
    return movesOn ? pace.versionAt(expectedEnd(flight, hint, now)) : request.trainerVersion();
  }

  /**
   * Returns when the attempt is expected to end. A higher idle weight shortens the estimate, so
   * that fewer attempts are expected to be too stale.
   */
  private Duration expectedEnd(Flight flight, int hint, Duration now) {
    double usual = LEAST_SHARE_OF_USUAL_RATE * pace.tokensPerSecond();
    double rate = Math.max(flight.rate(), usual);
    double left = Math.max(0, pace.expectedTokens(hint) - flight.generated);
    double seconds = rate <= 0 ? 0 : (1 - policy.idleWeight()) * left / rate;
    return now.plusNanos((long) (seconds * NANOS_PER_SECOND));
  }
}
