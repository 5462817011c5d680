package org.carobhoist.core.reward;

/** How one try of a reward call ended. */
public sealed interface RewardAnswer {

  /**
   * The endpoint has done it.
   *
   * @param value the score
   */
  record Score(String value) implements RewardAnswer {}

  /** The endpoint answered with an error of its own. */
  record OwnError() implements RewardAnswer {}

  /**
   * Anything else: no answer, a refusal, an answer that isn't one to this request.
   *
   * @param why what was seen
   */
  record Failure(String why) implements RewardAnswer {}
}
