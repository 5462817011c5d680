package org.carobhoist.core.store;

import org.carobhoist.core.common.Verdict;

/** A call to the store that brought no answer. */
public final class StoreException extends RuntimeException {

  private static final long serialVersionUID = 1L;

  private final Verdict verdict;

  private StoreException(Verdict verdict, String message, Throwable cause) {
    super(message, cause);
    this.verdict = verdict;
  }

  /** Returns the failure of a call that certainly had no effect. */
  public static StoreException notRun(String message) {
    return new StoreException(Verdict.NOT_RUN, message, null);
  }

  /** Returns the failure of a call that may have had its effect, or may have it later. */
  public static StoreException mayHaveRun(String message, Throwable cause) {
    return new StoreException(Verdict.MAY_HAVE_RUN, message, cause);
  }

  /** Returns whether the call may have had its effect. */
  public Verdict verdict() {
    return verdict;
  }
}
