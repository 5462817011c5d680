package org.carobhoist.core.testing;

import java.time.Duration;
import java.time.Instant;
import org.carobhoist.core.common.Clock;

/** A clock that tests advance manually; its wall clock may be skewed. */
public final class ManualClock implements Clock {

  private static final Instant START = Instant.parse("2026-01-01T00:00:00Z");

  private Duration elapsed = Duration.ZERO;
  private Duration skew = Duration.ZERO;

  /** Advances the time. */
  public void advance(Duration by) {
    elapsed = elapsed.plus(by);
  }

  /** Sets how far the wall clock is ahead of the true time; negative if it is behind. */
  public void setSkew(Duration value) {
    skew = value;
  }

  @Override
  public Instant now() {
    return START.plus(elapsed).plus(skew);
  }

  @Override
  public Duration elapsed() {
    return elapsed;
  }
}
