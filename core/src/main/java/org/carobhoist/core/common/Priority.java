package org.carobhoist.core.common;

/** Class of a request in a sidecar's queue, most urgent first. */
public enum Priority {
  /** A person waits for the answer. */
  INTERACTIVE,
  /** A service waits for the answer. */
  STANDARD,
  /** A trainer's rollout. */
  ROLLOUT
}
