package org.carobhoist.server.runtime;

import java.time.Duration;
import java.time.Instant;
import org.carobhoist.core.common.Clock;

/**
 * A clock for processes that can't read the system's uptime at each call. The JVM's monotonic clock
 * stops while the machine is suspended, but the time of day doesn't. If the time of day has
 * advanced further than the monotonic clock since the last reading, by more than the tolerance, the
 * difference is added to the elapsed time. Setting the time of day forward has the same effect:
 * leases then expire early, never late.
 */
public final class SuspendAwareClock implements Clock {

  /** Smaller differences are caused by drift and by the delay between the two readings. */
  private static final long TOLERANCE_MILLIS = 250;

  private static final long NANOS_PER_MILLI = 1_000_000;

  private long lastNanos = System.nanoTime();
  private long lastMillis = System.currentTimeMillis();
  private long missedNanos;

  private SuspendAwareClock() {}

  /** Creates a clock. */
  public static SuspendAwareClock create() {
    return new SuspendAwareClock();
  }

  @Override
  public Instant now() {
    return Instant.now();
  }

  @Override
  public synchronized Duration elapsed() {
    long nanos = System.nanoTime();
    long millis = System.currentTimeMillis();
    long missedMillis = millis - lastMillis - (nanos - lastNanos) / NANOS_PER_MILLI;
    if (missedMillis > TOLERANCE_MILLIS) {
      missedNanos += missedMillis * NANOS_PER_MILLI;
    }
    lastNanos = nanos;
    lastMillis = millis;
    return Duration.ofNanos(nanos + missedNanos);
  }
}
