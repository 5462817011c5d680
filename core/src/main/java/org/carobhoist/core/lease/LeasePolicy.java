package org.carobhoist.core.lease;

import java.time.Duration;

/**
 * Timing parameters of the lease.
 *
 * @param renewal time between two renewals
 * @param silence time without a renewal after which another process acquires the lease; time in
 *     which the store can't be read doesn't count
 * @param trust time after sending a renewal in which the holder may rely on it; shorter than the
 *     silence
 * @param heirTime time in which only the heir may acquire a released lease
 * @param orderGap time that a new holder waits before its first order, so that orders of two
 *     holders never alternate within this time
 * @param handicap time for which this process leaves a vacant lease to processes with more
 *     resources
 */
public record LeasePolicy(
    Duration renewal,
    Duration silence,
    Duration trust,
    Duration heirTime,
    Duration orderGap,
    Duration handicap) {

  /** Creates the policy of a process without a handicap. */
  public LeasePolicy(
      Duration renewal, Duration silence, Duration trust, Duration heirTime, Duration orderGap) {
    this(renewal, silence, trust, heirTime, orderGap, Duration.ZERO);
  }

  /** Returns this policy with the given handicap. */
  public LeasePolicy withHandicap(Duration time) {
    return new LeasePolicy(renewal, silence, trust, heirTime, orderGap, time);
  }

  /** Returns the default policy with the given time between the orders of two holders. */
  public static LeasePolicy of(Duration orderGap) {
    return new LeasePolicy(
        Duration.ofMillis(500),
        Duration.ofMillis(1_500),
        Duration.ofMillis(1_200),
        Duration.ofMillis(700),
        orderGap);
  }
}
