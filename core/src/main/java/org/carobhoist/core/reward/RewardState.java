package org.carobhoist.core.reward;

/** States of the state machine of a reward call; see {@code charts/reward.ini}. */
public enum RewardState {
  /** The call is queued for a free slot at an endpoint. */
  AWAITED,
  /** An attempt was sent to an endpoint. */
  CALLED,
  /** An attempt failed; the next one follows after a backoff. */
  FAILED,
  /** An endpoint has returned the score. */
  SCORED,
  /** The call is given up; there will be no score. */
  GIVEN_UP,
  /** The score is no longer needed. */
  ENDED
}
