package org.carobhoist.server.runtime;

import java.time.Duration;
import java.time.Instant;
import org.carobhoist.core.common.Clock;

/**
 * The operating system's clocks. The elapsed time is read from the kernel's clock since boot, which
 * goes on while the process or its machine is paused; where that can't be read, from the JVM's.
 */
public final class SystemClock implements Clock {

  private SystemClock() {}

  /** Returns the system's clock. */
  public static SystemClock create() {
    return new SystemClock();
  }

  @Override
  public Instant now() {
    return Instant.now();
  }

  @Override
  public Duration elapsed() {
    return Duration.ofNanos(System.nanoTime());
  }
}
