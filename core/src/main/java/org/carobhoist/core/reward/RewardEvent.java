package org.carobhoist.core.reward;

/** Events of the state machine of a reward call; see {@code charts/reward.ini}. */
public enum RewardEvent {
  /** An endpoint was chosen that has a free slot. */
  PLACED,
  /** The endpoint returned a score. */
  SCORE,
  /** The attempt failed and may be retried. */
  FAILURE,
  /** The endpoints have answered with errors as often as the route allows. */
  ERRORS_USED_UP,
  /** The backoff after a failure is over. */
  TIMER,
  /** The item's deadline has passed. */
  EXPIRED,
  /** The item's result has already been published, or its job has ended. */
  UNWANTED
}
