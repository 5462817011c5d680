package org.carobhoist.trainer;

import java.util.List;

/**
 * Body of {@code POST /v1/steps}.
 *
 * @param profile the profile under which the step runs
 * @param trainer the trainer's id
 * @param step the step's id
 * @param weightVersion the trainer's current weight version
 * @param samplesPerGroup number of samples in each group
 * @param maxTokens maximum number of tokens of a sample
 * @param cursor cursor of the groups that the trainer has, in text form
 * @param groups prompts of the groups that the trainer doesn't have
 * @param waitMillis maximum time in milliseconds to wait for a complete group
 * @param prepare whether to generate samples without returning them; the page is then empty
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

  /** Creates a request that isn't a prepare request. */
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
   * @param group the group's number, from 0
   * @param prompt the prompt
   * @param expectedTokens expected number of tokens of each sample; 0 if unknown
   */
  public record Group(int group, String prompt, int expectedTokens) {

    /** Creates a group whose expected number of tokens is unknown. */
    public Group(int group, String prompt) {
      this(group, prompt, 0);
    }
  }
}
