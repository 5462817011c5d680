package org.carobhoist.core.rollout;

import java.util.List;
import org.carobhoist.core.common.WeightVersion;

/**
 * A trainer's request for the groups of a step that it doesn't hold yet.
 *
 * @param key the step
 * @param trainerVersion the trainer's current weight version
 * @param samplesPerGroup number of samples in each group, at least 1
 * @param maxTokens maximum number of tokens of a sample, at least 1
 * @param cursor the groups that the trainer holds
 * @param prompts the groups of the step with their prompts; groups that the trainer already holds
 *     may be omitted
 * @param prepare whether samples are only to be generated ahead of time; the page is then empty
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
   * The prompt of a group.
   *
   * @param group number of the group, from 0
   * @param prompt the prompt
   * @param expectedTokens expected number of tokens of its samples; 0 if unknown
   */
  public record GroupPrompt(int group, String prompt, int expectedTokens) {

    /** Creates a prompt whose samples are of unknown length. */
    public GroupPrompt(int group, String prompt) {
      this(group, prompt, 0);
    }
  }

  /** Returns whether the trainer holds every group that the request names, or names none. */
  public boolean isComplete() {
    return prompts.stream().allMatch(p -> cursor.holds(p.group()));
  }
}
