package org.carobhoist.core.lease;

import java.time.Duration;

/**
 * Times of the lease.
 *
 * @param renewal time between two renewals
 * @param silence time without a renewal, seen in a store that could be read all the while, after
 *     which another process takes the lease
 * @param trust time after a renewal was sent for which its holder relies on it; below the silence
 * @param heirTime time that the heir of a released lease has before anyone may take it
 * @param orderGap time that a new holder waits before its first order, so that orders of two
 *     holders never alternate within it
 * @param handicap time that this process leaves a vacant lease to others that have more to work
 *     with
 */
public record LeasePolicy(
    Duration renewal,
    Duration silence,
    Duration trust,
    Duration heirTime,
    Duration orderGap,
    Duration handicap) {

  /** Creates the times of a process without handicap. */
  public LeasePolicy(
      Duration renewal, Duration silence, Duration trust, Duration heirTime, Duration orderGap) {
    this(renewal, silence, trust, heirTime, orderGap, Duration.ZERO);
  }

  /** Returns these times with a handicap. */
  public LeasePolicy withHandicap(Duration time) {
    return new LeasePolicy(renewal, silence, trust, heirTime, orderGap, time);
  }

  /** Returns the policy of an installation whose holders must not alternate within a time. */
  public static LeasePolicy of(Duration orderGap) {
    return new LeasePolicy(
        Duration.ofMillis(500),
        Duration.ofMillis(1_500),
        Duration.ofMillis(1_200),
        Duration.ofMillis(700),
        orderGap);
  }
}
