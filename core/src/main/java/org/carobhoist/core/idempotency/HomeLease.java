package org.carobhoist.core.idempotency;

import java.time.Duration;
import org.carobhoist.core.common.Clock;

/**
 * Determines whether a sidecar's home view is recent enough to act on. While the lease is valid,
 * every record that the sidecar hasn't read was appended less than one lease length ago. The lease
 * starts when the read that renews it is sent, not when the response arrives, since the response
 * may have been delayed. Callers must check the lease after receiving the request that they decide
 * on, never before, because the process may be paused between any two instructions.
 */
public final class HomeLease {

  private final Clock clock;
  private final Duration length;
  private Duration lastReadSentAt;
  private Duration expiresAt;

  private HomeLease(Clock clock, Duration length) {
    this.clock = clock;
    this.length = length;
    this.lastReadSentAt = clock.elapsed();
    this.expiresAt = lastReadSentAt;
  }

  /** Returns a lease that isn't valid yet. */
  public static HomeLease create(HomePolicy policy, Clock clock) {
    return new HomeLease(clock, policy.lease());
  }

  /** Called before a read of the log is sent; at most one read is in progress at a time. */
  public void onReadSent() {
    lastReadSentAt = clock.elapsed();
  }

  /** Called when the last read sent has returned every record up to the end of the log. */
  public void onCaughtUp() {
    expiresAt = lastReadSentAt.plus(length);
  }

  /** Returns whether the lease is valid now. */
  public boolean isValid() {
    return clock.elapsed().compareTo(expiresAt) < 0;
  }
}
