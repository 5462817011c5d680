package org.carobhoist.core.swap;

/** States of the state machine of a weight swap at a sidecar; see {@code charts/swap.ini}. */
public enum SwapState {
  /** The version that the engine serves is being read. */
  READING_BACK,
  /** The engine serves the ordered version, or there is no order. */
  SETTLED,
  /** The engine prefetches the new weights while it serves the old ones. */
  PREFETCHING,
  /** The weights are prefetched; the engine waits until it may load. */
  AWAITING_TURN,
  /** The engine loads the new weights and is out of rotation. */
  LOADING,
  /** An attempt failed; the next one follows after a backoff. */
  BACKING_OFF
}
