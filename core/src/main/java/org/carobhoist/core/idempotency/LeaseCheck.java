package org.carobhoist.core.idempotency;

/** Checks whether a sidecar may act on its home view. */
@FunctionalInterface
interface LeaseCheck {

  /** Returns whether the lease is valid now. */
  boolean isValid();
}
