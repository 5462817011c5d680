package org.carobhoist.core.idempotency;

import java.time.Duration;
import java.time.Instant;

/**
 * Time bounds that make it safe to move the home of caller-generated keys between sidecars.
 *
 * @param lease how long a home may act after sending the log read that renewed its lease
 * @param skew maximum difference between the wall clocks of any two processes, including the
 *     platform's log; also the maximum time by which a key's creation time may lie in the future
 */
public record HomePolicy(Duration lease, Duration skew) {

  /** The default: a lease of 15 s, long enough for three reads of the log, and a skew of 1 s. */
  public static final HomePolicy DEFAULT =
      new HomePolicy(Duration.ofSeconds(15), Duration.ofSeconds(1));

  /**
   * Validates the durations.
   *
   * @throws IllegalArgumentException if the lease isn't positive or the skew is negative
   */
  public HomePolicy {
    if (lease.isNegative() || lease.isZero() || skew.isNegative()) {
      throw new IllegalArgumentException("lease must be positive and skew must not be negative");
    }
  }

  /**
   * Returns the floor of a tenure: keys created at or before it may have run at an earlier home. An
   * earlier home acts for at most one lease after the record that ended its tenure. It accepts keys
   * created up to one skew ahead of its own clock, which itself may be one skew ahead of the log's
   * clock; hence the skew is added twice.
   */
  public Instant floor(Instant tenureStart) {
    return tenureStart.plus(lease).plus(skew).plus(skew);
  }

  /** Returns whether a key's creation time is more than one skew ahead of the given time. */
  public boolean isFromFuture(Instant creationTime, Instant now) {
    return creationTime.isAfter(now.plus(skew));
  }
}
