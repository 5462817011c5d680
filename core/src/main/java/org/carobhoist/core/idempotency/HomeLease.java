package org.carobhoist.core.idempotency;

import java.time.Duration;
import org.carobhoist.core.common.Clock;

/**
 * Says whether a sidecar knows the home view well enough to act on it. While the lease is valid,
 * every record that it hasn't read was appended less than one lease ago. It runs from the moment at
 * which the read that renewed it was sent, not from its answer, which may have been long on its
 * way. Its validity has to be asked for after the receipt of the request in question, never before:
 * a pause may lie between any two instructions.
 */
public final class HomeLease {

  private final Clock clock;
  private final Duration length;
  private Duration sent;
  private Duration expiry;

  private HomeLease(Clock clock, Duration length) {
    this.clock = clock;
    this.length = length;
    this.sent = clock.elapsed();
    this.expiry = sent;
  }

  /** Returns a lease that isn't valid yet. */
  public static HomeLease create(HomePolicy policy, Clock clock) {
    return new HomeLease(clock, policy.lease());
  }

  /** Notes that a read of the log is about to be sent; one read is under way at a time. */
  public void onReadSent() {
    sent = clock.elapsed();
  }

  /** Notes that the read sent last has returned every record up to the log's end. */
  public void onCaughtUp() {
    expiry = sent.plus(length);
  }

  /** Returns whether the lease is valid at this moment. */
  public boolean isValid() {
    return clock.elapsed().compareTo(expiry) < 0;
  }
}
