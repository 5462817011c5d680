package org.carobhoist.core.rollout;

/**
 * Identifies a sample of a step.
 *
 * @param step the step
 * @param group number of the group, from 0
 * @param index index of the sample within its group, from 0
 */
public record SampleKey(StepKey step, int group, int index) {

  private static final long FACTOR = 31;

  /** Returns the seed of the sample, which is the same for each of its attempts. */
  public long seed() {
    long seed = step.profile().value().hashCode();
    seed = FACTOR * seed + step.trainer().value().hashCode();
    seed = FACTOR * seed + step.step().value().hashCode();
    return FACTOR * (FACTOR * seed + group) + index;
  }
}
