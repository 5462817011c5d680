package org.carobhoist.core.common;

import java.time.Duration;

/**
 * Describes why a request got no answer.
 *
 * @param verdict whether it may have run; never {@link Verdict#COMPLETED}
 * @param reason the kind of refusal
 * @param detail one sentence that explains the error to a person
 * @param retryAfter delay after which a retry is worthwhile; zero if unknown
 */
public record Refusal(Verdict verdict, RefusalReason reason, String detail, Duration retryAfter) {

  /**
   * Validates the verdict.
   *
   * @throws IllegalArgumentException if the verdict is {@link Verdict#COMPLETED}
   */
  public Refusal {
    if (verdict == Verdict.COMPLETED) {
      throw new IllegalArgumentException("a refusal must not have the verdict COMPLETED");
    }
  }

  /** Returns a refusal of a request that certainly did not run. */
  public static Refusal notRun(RefusalReason reason, String detail) {
    return new Refusal(Verdict.NOT_RUN, reason, detail, Duration.ZERO);
  }

  /** Returns a refusal for the failure of a request that may have run. */
  public static Refusal mayHaveRun(RefusalReason reason, String detail) {
    return new Refusal(Verdict.MAY_HAVE_RUN, reason, detail, Duration.ZERO);
  }

  /** Returns a copy of this refusal with the delay after which the caller should retry. */
  public Refusal withRetryAfter(Duration after) {
    return new Refusal(verdict, reason, detail, after);
  }
}
