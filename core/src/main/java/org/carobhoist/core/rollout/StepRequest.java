package org.carobhoist.core.rollout;

import java.util.List;
import org.carobhoist.core.common.WeightVersion;

/**
 * What a trainer asks for: the groups of a step that it doesn't hold yet.
 *
 * @param key the step
 * @param trainerVersion the weight version that the trainer has now
 * @param samplesPerGroup samples in each group, at least 1
 * @param maxTokens most tokens of a sample, at least 1
 * @param cursor the groups that the trainer holds
 * @param prompts the groups of the step with their prompts; those held already may be left out
 * @param prepare whether samples are only to be made ready; the page is then empty
 */
public record StepRequest(
    StepKey key,
    WeightVersion trainerVersion,
    int samplesPerGroup,
    int maxTokens,
    GroupCursor cursor,
    List<GroupPrompt> prompts,
    boolean prepare) {

  /**
   * One group's prompt.
   *
   * @param group the group, from 0
   * @param prompt the prompt
   * @param expectedTokens tokens that its samples are expected to have; 0 if unknown
   */
  public record GroupPrompt(int group, String prompt, int expectedTokens) {

    /** Creates a prompt of unknown length of answer. */
    public GroupPrompt(int group, String prompt) {
      this(group, prompt, 0);
    }
  }

  /** Returns whether the trainer holds every group that the request names, or names none. */
  public boolean isComplete() {
    return prompts.stream().allMatch(p -> cursor.holds(p.group()));
  }
}
