package org.carobhoist.core.common;

/**
 * Says whether a request may have run at its endpoint. It accompanies every outcome, from the
 * endpoint's sidecar up to the caller.
 */
public enum Verdict {
  /** The request ran and its whole answer is at hand. */
  COMPLETED,
  /** The request certainly did not run; it may be sent again, whatever it does. */
  NOT_RUN,
  /** Nobody can tell; only an idempotent request may be sent again. */
  MAY_HAVE_RUN;

  /** Returns whether a request may be retried after this verdict. */
  public boolean allowsRetry(boolean idempotent) {
    return this == NOT_RUN || (this == MAY_HAVE_RUN && idempotent);
  }
}
