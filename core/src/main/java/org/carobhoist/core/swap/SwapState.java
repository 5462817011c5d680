package org.carobhoist.core.swap;

/** States of a weight swap at a sidecar; see {@code charts/swap.ini}. */
public enum SwapState {
  /** What the engine serves is being read. */
  READING_BACK,
  /** The engine serves what it should. */
  SETTLED,
  /** The engine fetches the new weights while it serves the old ones. */
  PREFETCHING,
  /** The weights are at hand; other engines of the model load first. */
  AWAITING_TURN,
  /** The engine loads the new weights and is out of rotation. */
  LOADING,
  /** A try failed; the next one waits. */
  BACKING_OFF
}
