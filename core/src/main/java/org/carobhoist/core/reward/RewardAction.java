package org.carobhoist.core.reward;

/** Actions of the state machine of a reward call; see {@code charts/reward.ini}. */
public enum RewardAction {
  /** Send the request to the endpoint chosen. */
  SEND,
  /** Cancel the request. */
  CANCEL,
  /** Start the backoff before the next attempt. */
  PAUSE,
  /** Queue the call until an endpoint has a free slot for it. */
  QUEUE,
  /** Deliver the score. */
  HAND_ON,
  /** Report that there will be no score. */
  GIVE_UP
}
