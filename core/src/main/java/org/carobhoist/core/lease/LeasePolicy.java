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
 * @param orderGap time in which a server must not receive orders of two holders by turns; longer
 *     than an order is on its way
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

  /**
   * Silence in renewal intervals after which the lease of a process that seems to have ended is
   * acquired; a process that runs and reaches the store has renewed it by then.
   */
  private static final double SUSPICION_INTERVALS = 1.4;

  /**
   * Maximum time for which a release waits for the answers to orders. An order times out after 1.2
   * s at most, 0.4 s of them for its connection.
   */
  static final Duration MAX_RELEASE_WAIT = Duration.ofMillis(1_500);

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

  /**
   * Returns the silence after which the lease of a process that seems to have ended is acquired.
   */
  public Duration suspicionTimeout() {
    return Duration.ofNanos((long) (SUSPICION_INTERVALS * renewalInterval.toNanos()));
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
