package org.carobhoist.core.swap;

/** Actions of the state machine of a weight swap at a sidecar; see {@code charts/swap.ini}. */
public enum SwapAction {
  /** Query the weight version that the engine serves. */
  READ,
  /** Order the engine to prefetch the weights. */
  PREFETCH,
  /** Order the engine to load the weights. */
  LOAD,
  /** Take the endpoint out of rotation. */
  LEAVE_ROTATION,
  /** Put the endpoint into rotation with the version read back. */
  JOIN_ROTATION,
  /** Start the backoff before the next attempt. */
  BACK_OFF,
  /** Start the wait for the next probe of the engine. */
  REST
}
