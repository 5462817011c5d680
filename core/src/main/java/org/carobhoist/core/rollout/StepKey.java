package org.carobhoist.core.rollout;

import org.carobhoist.core.common.ProfileName;
import org.carobhoist.core.common.StepId;
import org.carobhoist.core.common.TrainerId;

/**
 * Identifies a step of a trainer.
 *
 * @param profile the profile under which it runs
 * @param trainer the trainer
 * @param step the step
 */
public record StepKey(ProfileName profile, TrainerId trainer, StepId step) {

  /** Returns whether both steps belong to the same trainer under the same profile. */
  public boolean isOfSameTrainer(StepKey other) {
    return profile.equals(other.profile) && trainer.equals(other.trainer);
  }
}
