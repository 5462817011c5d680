package org.carobhoist.trainer;

import java.util.List;

/**
 * Response to {@code POST /v1/steps}: complete groups that the request's cursor doesn't contain.
 *
 * @param profile the profile
 * @param trainer the trainer
 * @param step the step
 * @param cursor the cursor of the request that this page responds to
 * @param weightVersion the trainer's version against which staleness was checked
 * @param groups complete groups; empty if none was complete within the wait time
 */
public record StepPageMessage(
    String profile,
    String trainer,
    String step,
    String cursor,
    long weightVersion,
    List<Group> groups) {

  /**
   * A complete group.
   *
   * @param group the group
   * @param samples one sample for each index, in order
   */
  public record Group(int group, List<Sample> samples) {}

  /**
   * A sample.
   *
   * @param index index in the group
   * @param tokens the tokens
   * @param text the text
   * @param finishReason why the engine stopped
   * @param spans the weight versions of all tokens
   * @param score the score; null if the profile has no scorer
   */
  public record Sample(
      int index,
      List<Integer> tokens,
      String text,
      String finishReason,
      List<Span> spans,
      Double score) {}

  /**
   * Tokens of one weight version.
   *
   * @param version the version
   * @param from first token, inclusive
   * @param to last token, exclusive
   */
  public record Span(long version, int from, int to) {}
}
