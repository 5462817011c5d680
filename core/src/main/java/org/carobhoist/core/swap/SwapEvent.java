package org.carobhoist.core.swap;

/** Events of a weight swap at a sidecar; see {@code charts/swap.ini}. */
public enum SwapEvent {
  /** A newer order is in force. */
  ORDER,
  /** The engine has carried out the order that it was given. */
  DONE,
  /** The engine failed, or its answer was lost. */
  FAILED,
  /** The engine refuses the order's fencing number as old. */
  REFUSED,
  /** The engine serves the version ordered, or there is no order. */
  SERVES_TARGET,
  /** The engine serves another whole version. */
  SERVES_OTHER,
  /** The engine serves no whole version, and there is an order to load one. */
  SERVES_NONE,
  /** It is this engine's turn to load. */
  TURN,
  /** It is time to look again. */
  TIMER
}
