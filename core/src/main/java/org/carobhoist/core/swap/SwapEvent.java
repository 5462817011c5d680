package org.carobhoist.core.swap;

/** Events of the state machine of a weight swap at a sidecar; see {@code charts/swap.ini}. */
public enum SwapEvent {
  /** A newer order has come into force. */
  ORDER,
  /** The engine has executed the order. */
  DONE,
  /** The engine reported a failure, or its answer didn't arrive in time. */
  FAILED,
  /** The engine rejected the order because its fencing number is outdated. */
  REFUSED,
  /** The engine serves the ordered version, or there is no order. */
  SERVES_TARGET,
  /** The engine serves complete weights of another version. */
  SERVES_OTHER,
  /** The engine serves no complete weights, and there is an order to load a version. */
  SERVES_NONE,
  /** This engine may load now. */
  TURN,
  /** The backoff is over, or the next probe is due. */
  TIMER
}
