package org.carobhoist.core.swap;

/** Actions of a weight swap at a sidecar; see {@code charts/swap.ini}. */
public enum SwapAction {
  /** Ask the engine what it serves. */
  READ,
  /** Order the engine to fetch the weights. */
  PREFETCH,
  /** Order the engine to load the weights. */
  LOAD,
  /** Take the endpoint out of rotation. */
  LEAVE_ROTATION,
  /** Put the endpoint into rotation with the version read back. */
  JOIN_ROTATION,
  /** Begin to wait before the next try. */
  BACK_OFF,
  /** Begin to wait before the engine is looked at again. */
  REST
}
