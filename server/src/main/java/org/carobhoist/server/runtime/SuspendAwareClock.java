package org.carobhoist.server.runtime;

import java.time.Duration;
import java.time.Instant;
import org.carobhoist.core.common.Clock;

/**
 * The system's clocks, where the uptime can't be read at each call. The JVM's monotonic clock stops
 * while the machine is suspended and the time of day doesn't; when the time of day has gained more
 * than a clock's drift since the last reading, the elapsed time goes on by as much. A time of day
 * that is set forward looks the same: leases then run out early, never late.
 */
public final class SuspendAwareClock implements Clock {

  /** Differences below this come from drift and from the two readings' distance. */
  private static final long TOLERANCE_MILLIS = 250;

  private static final long NANOS_PER_MILLI = 1_000_000;

  private long lastNanos = System.nanoTime();
  private long lastMillis = System.currentTimeMillis();
  private long missedNanos;

  private SuspendAwareClock() {}

  /** Returns the system's clocks. */
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
    long gained = millis - lastMillis - (nanos - lastNanos) / NANOS_PER_MILLI;
    if (gained > TOLERANCE_MILLIS) {
      missedNanos += gained * NANOS_PER_MILLI;
    }
    lastNanos = nanos;
    lastMillis = millis;
    return Duration.ofNanos(nanos + missedNanos);
  }
}
