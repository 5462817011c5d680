package org.carobhoist.core.common;

import java.time.Duration;

/**
 * Why a request got no answer.
 *
 * @param verdict whether it may have run; never {@link Verdict#COMPLETED}
 * @param reason the kind of refusal
 * @param detail one sentence for the person who reads the error
 * @param retryAfter when it makes sense to ask again; zero if unknown
 */
public record Refusal(Verdict verdict, RefusalReason reason, String detail, Duration retryAfter) {

  /**
   * Checks the verdict.
   *
   * @throws IllegalArgumentException if the verdict is {@link Verdict#COMPLETED}
   */
  public Refusal {
    if (verdict == Verdict.COMPLETED) {
      throw new IllegalArgumentException("a refusal can't carry the verdict COMPLETED");
    }
  }

  /** Returns a refusal of a request that certainly did not run. */
  public static Refusal notRun(RefusalReason reason, String detail) {
    return new Refusal(Verdict.NOT_RUN, reason, detail, Duration.ZERO);
  }

  /** Returns a failure of a request that may have run. */
  public static Refusal mayHaveRun(RefusalReason reason, String detail) {
    return new Refusal(Verdict.MAY_HAVE_RUN, reason, detail, Duration.ZERO);
  }

  /** Returns this refusal with the time after which the caller should ask again. */
  public Refusal retryAfter(Duration after) {
    return new Refusal(verdict, reason, detail, after);
  }
}
