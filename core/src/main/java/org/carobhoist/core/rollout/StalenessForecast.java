package org.carobhoist.core.rollout;

import java.time.Duration;
import org.carobhoist.core.common.WeightVersion;

/**
 * Tells which attempts will be too old when the trainer takes them. Most trainers don't move on
 * before they have the step; one that did so once may do it again, at the pace that it has shown.
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

  /** Takes a change of the trainer's version between two requests for the same step. */
  void onNewVersion(StepRequest previous, StepRequest next) {
    movesOn |= !previous.prepare() && !next.prepare();
  }

  /**
   * Returns whether a sample will be too old.
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

  /** The lower the idle weight, the further ahead the trainer's next versions are awaited. */
  private Duration expectedEnd(Flight flight, int hint, Duration now) {
    double usual = LEAST_SHARE_OF_USUAL_RATE * pace.tokensPerSecond();
    double rate = Math.max(flight.rate(), usual);
    double left = Math.max(0, pace.expectedTokens(hint) - flight.generated);
    double seconds = rate <= 0 ? 0 : (1 - policy.idleWeight()) * left / rate;
    return now.plusNanos((long) (seconds * NANOS_PER_SECOND));
  }
}
