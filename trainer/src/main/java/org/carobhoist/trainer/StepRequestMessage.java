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
 * @param prepare whether samples are only to be made ready; the page is then empty
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
    long waitMillis,
    boolean prepare) {

  /** Creates a request that takes pages. */
  public StepRequestMessage(
      String profile,
      String trainer,
      String step,
      long weightVersion,
      int samplesPerGroup,
      int maxTokens,
      String cursor,
      List<Group> groups,
      long waitMillis) {
    this(
        profile,
        trainer,
        step,
        weightVersion,
        samplesPerGroup,
        maxTokens,
        cursor,
        groups,
        waitMillis,
        false);
  }

  /**
   * One group's prompt.
   *
   * @param group the group, from 0
   * @param prompt the prompt
   * @param expectedTokens tokens that its samples are expected to have; 0 if unknown
   */
  public record Group(int group, String prompt, int expectedTokens) {

    /** Creates a group of unknown length of answer. */
    public Group(int group, String prompt) {
      this(group, prompt, 0);
    }
  }
}
