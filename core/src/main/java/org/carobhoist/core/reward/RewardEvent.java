package org.carobhoist.core.reward;

/** Events of a reward call; see {@code charts/reward.ini}. */
public enum RewardEvent {
  /** An endpoint has a place for it. */
  PLACED,
  /** The answer bears the score. */
  SCORE,
  /** The try failed in a way that another one may mend. */
  FAILURE,
  /** The endpoints have answered with errors of their own as often as the route allows. */
  ERRORS_USED_UP,
  /** The pause after a failure is over. */
  TIMER,
  /** The item's time is over. */
  EXPIRED,
  /** The item is listed already, or its job has ended. */
  UNWANTED
}
