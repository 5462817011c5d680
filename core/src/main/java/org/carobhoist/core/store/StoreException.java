package org.carobhoist.core.store;

import org.carobhoist.core.common.Verdict;

/** Thrown when a call to the store got no usable response. */
public final class StoreException extends RuntimeException {

  private static final long serialVersionUID = 1L;

  private final Verdict verdict;

  private StoreException(Verdict verdict, String message, Throwable cause) {
    super(message, cause);
    this.verdict = verdict;
  }

  /** Returns an exception for a call that certainly had no effect. */
  public static StoreException notRun(String message) {
    return new StoreException(Verdict.NOT_RUN, message, null);
  }

  /** Returns an exception for a call that may have taken effect or may still take effect. */
  public static StoreException mayHaveRun(String message, Throwable cause) {
    return new StoreException(Verdict.MAY_HAVE_RUN, message, cause);
  }

  /** Returns whether the call may have taken effect. */
  public Verdict verdict() {
    return verdict;
  }
}
