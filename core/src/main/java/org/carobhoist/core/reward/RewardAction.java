package org.carobhoist.core.reward;

/** Actions of a reward call; see {@code charts/reward.ini}. */
public enum RewardAction {
  /** Send the request to the endpoint chosen. */
  SEND,
  /** Break the request off. */
  CANCEL,
  /** Begin the pause before the next try. */
  PAUSE,
  /** Wait for a place. */
  QUEUE,
  /** Hand the score on. */
  HAND_ON,
  /** Say that there will be no score. */
  GIVE_UP
}
