package org.carobhoist.core.lease;

import java.time.Duration;

/**
 * Timing parameters of the lease.
 *
 * @param renewalInterval time between two renewals
 * @param silenceTimeout time without a renewal after which another process acquires the lease; time
 *     in which the store can't be read doesn't count
 * @param validity time after sending a renewal in which the holder may rely on it; shorter than the
 *     silence timeout
 * @param heirGracePeriod time in which only the heir may acquire a released lease
 * @param orderGap time that a new holder waits before its first order, unless the former holder is
 *     known to have stopped; otherwise orders of both could alternate
 * @param acquisitionDelay time for which this process leaves a vacant lease to processes with more
 *     resources
 */
public record LeasePolicy(
    Duration renewalInterval,
    Duration silenceTimeout,
    Duration validity,
    Duration heirGracePeriod,
    Duration orderGap,
    Duration acquisitionDelay) {

  /** Creates the policy of a process without an acquisition delay. */
  public LeasePolicy(
      Duration renewalInterval,
      Duration silenceTimeout,
      Duration validity,
      Duration heirGracePeriod,
      Duration orderGap) {
    this(renewalInterval, silenceTimeout, validity, heirGracePeriod, orderGap, Duration.ZERO);
  }

  /** Returns this policy with the given acquisition delay. */
  public LeasePolicy withAcquisitionDelay(Duration time) {
    return new LeasePolicy(
        renewalInterval, silenceTimeout, validity, heirGracePeriod, orderGap, time);
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
