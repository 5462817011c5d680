package org.carobhoist.core.common;

/**
 * Whether a request may have run at its endpoint. Every outcome carries it, from the endpoint's
 * sidecar up to the caller, to decide whether a retry is safe.
 */
public enum Verdict {
  /** The request ran, and its complete answer is available. */
  COMPLETED,
  /** The request certainly did not run; a retry is safe even if it is not idempotent. */
  NOT_RUN,
  /** It is unknown whether the request ran; only an idempotent request may be retried. */
  MAY_HAVE_RUN;

  /** Returns whether a request may be retried after this verdict. */
  public boolean allowsRetry(boolean idempotent) {
    return this == NOT_RUN || (this == MAY_HAVE_RUN && idempotent);
  }
}
