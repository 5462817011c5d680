package org.carobhoist.core.common;

/** Priority class of a request in a sidecar's queue, highest first. */
public enum Priority {
  /** A person waits for the response. */
  INTERACTIVE,
  /** A service waits for the response. */
  STANDARD,
  /** A rollout of a trainer. */
  ROLLOUT
}
