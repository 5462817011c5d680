package org.carobhoist.core.reward;

/** The result of one attempt of a reward call. */
public sealed interface RewardAnswer {

  /**
   * The endpoint returned a score.
   *
   * @param value the score
   */
  record Score(String value) implements RewardAnswer {}

  /** The endpoint itself answered with an error. */
  record EndpointError() implements RewardAnswer {}

  /**
   * Any other failure: no answer, a refusal, or an answer that doesn't belong to this request.
   *
   * @param why the observed failure, for the log
   */
  record Failure(String why) implements RewardAnswer {}
}
