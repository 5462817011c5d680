package org.carobhoist.trainer;

import java.util.List;

/**
 * Answer to {@code POST /v1/steps}: whole groups that the cursor doesn't hold.
 *
 * @param profile the profile
 * @param trainer the trainer
 * @param step the step
 * @param cursor the cursor that this page answers
 * @param weightVersion the trainer's version against which staleness was checked
 * @param groups whole groups; empty if none was whole in time
 */
public record StepPageMessage(
    String profile,
    String trainer,
    String step,
    String cursor,
    long weightVersion,
    List<Group> groups) {

  /**
   * A whole group.
   *
   * @param group the group
   * @param samples one sample for each index, in order
   */
  public record Group(int group, List<Sample> samples) {}

  /**
   * A sample.
   *
   * @param index its place in the group
   * @param tokens the tokens
   * @param text the text
   * @param finishReason why the engine stopped
   * @param spans the weight versions of all tokens
   * @param score the scorer's verdict; null if the profile asks for none
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
