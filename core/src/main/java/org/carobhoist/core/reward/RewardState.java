package org.carobhoist.core.reward;

/** States of a reward call; see {@code charts/reward.ini}. */
public enum RewardState {
  /** It waits for a place at an endpoint. */
  AWAITED,
  /** It was sent to an endpoint. */
  CALLED,
  /** A try failed; the next one waits for its time. */
  FAILED,
  /** An endpoint has given the score. */
  SCORED,
  /** No score will come; the item is given up. */
  GIVEN_UP,
  /** Nobody wants the score any more. */
  ENDED
}
