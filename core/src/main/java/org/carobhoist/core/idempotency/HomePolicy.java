package org.carobhoist.core.idempotency;

import java.time.Duration;
import java.time.Instant;

/**
 * Times on which the home of callers' keys rests.
 *
 * @param lease how long a home may act after it sent the read of the log that renewed its lease
 * @param skew greatest difference between the wall clocks of any two processes, the platform's log
 *     included; also how far in the future a key's creation time may lie
 */
public record HomePolicy(Duration lease, Duration skew) {

  /** The default: a lease of 15 s, which three reads of the log fit in, and a skew of 1 s. */
  public static final HomePolicy DEFAULT =
      new HomePolicy(Duration.ofSeconds(15), Duration.ofSeconds(1));

  /**
   * Checks the ranges.
   *
   * @throws IllegalArgumentException if the lease isn't positive or the skew is negative
   */
  public HomePolicy {
    if (lease.isNegative() || lease.isZero() || skew.isNegative()) {
      throw new IllegalArgumentException("lease must be positive and skew not negative");
    }
  }

  /**
   * Returns the floor of a tenure: keys born up to then may have run at an earlier home. An earlier
   * home acts for at most one lease after the record that ended its tenure. It takes keys up to one
   * skew ahead of its own clock, which may itself be one skew ahead of the log's.
   */
  public Instant floor(Instant tenureStart) {
    return tenureStart.plus(lease).plus(skew).plus(skew);
  }

  /** Returns whether a key's creation time lies too far ahead of a clock. */
  public boolean isFromFuture(Instant birth, Instant now) {
    return birth.isAfter(now.plus(skew));
  }
}
