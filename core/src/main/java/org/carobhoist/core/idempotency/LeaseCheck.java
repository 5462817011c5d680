package org.carobhoist.core.idempotency;

/** Whether a sidecar may act on its home view at this moment. */
@FunctionalInterface
interface LeaseCheck {

  /** Returns whether the lease is valid now. */
  boolean isValid();
}
