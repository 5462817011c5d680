package org.carobhoist.server.gateway.usage;

import java.time.Duration;
import java.time.Instant;
import org.carobhoist.core.common.Clock;

/** A clock whose elapsed time doesn't change when the time of day is set. */
final class MonotonicClock implements Clock {

  @Override
  public Instant now() {
    return Instant.now();
  }

  @Override
  public Duration elapsed() {
    return Duration.ofNanos(System.nanoTime());
  }
}
