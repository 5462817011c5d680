package org.carobhoist.trainer;

import java.util.List;

/**
 * Body of {@code POST /v1/steps}.
 *
 * @param profile the profile under which the step runs
 * @param trainer the trainer's id
 * @param step the step's id
 * @param weightVersion the weight version that the trainer has now
 * @param samplesPerGroup samples in each group
 * @param maxTokens most tokens of a sample
 * @param cursor text form of the groups that the trainer holds
 * @param groups prompts of the groups that it doesn't hold
 * @param waitMillis longest time in milliseconds to wait for a whole group
 */
public record StepRequestMessage(
    String profile,
    String trainer,
    String step,
    long weightVersion,
    int samplesPerGroup,
    int maxTokens,
    String cursor,
    List<Group> groups,
    long waitMillis) {

  /**
   * One group's prompt.
   *
   * @param group the group, from 0
   * @param prompt the prompt
   */
  public record Group(int group, String prompt) {}
}
