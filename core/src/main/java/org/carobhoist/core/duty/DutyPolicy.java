package org.carobhoist.core.duty;

import java.time.Duration;

/**
 * Timing parameters of a duty.
 *
 * @param answerTimeout time after which a call counts as unanswered
 * @param initialBackoff maximum backoff after the first failure
 * @param maxBackoff maximum backoff after any failure
 * @param minInterval minimum time between two sends, so that the platform's limit for all processes
 *     isn't exceeded
 * @param takeoverGap time from the start of a term to its first call. It also applies if the former
 *     holder has released the lease or has ended: a call of its own without an answer may still be
 *     executed, and calls of two holders must not alternate.
 */
public record DutyPolicy(
    Duration answerTimeout,
    Duration initialBackoff,
    Duration maxBackoff,
    Duration minInterval,
    Duration takeoverGap) {

  /** Share of the platform's limit that this process uses; the rest is left to a successor. */
  private static final double RATE_SHARE = 0.5;

  private static final double MILLIS_PER_SECOND = 1_000;

  /**
   * Returns the default policy.
   *
   * @param callsPerSecond number of calls per second that the platform accepts from all processes
   * @param takeoverGap time from the start of a term to its first call
   */
  public static DutyPolicy of(double callsPerSecond, Duration takeoverGap) {
    long interval = (long) Math.ceil(MILLIS_PER_SECOND / (callsPerSecond * RATE_SHARE));
    return new DutyPolicy(
        Duration.ofMillis(1_000),
        Duration.ofMillis(1_000),
        Duration.ofMillis(2_000),
        Duration.ofMillis(interval),
        takeoverGap);
  }
}
