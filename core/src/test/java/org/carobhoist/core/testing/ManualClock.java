package org.carobhoist.core.testing;

import java.time.Duration;
import java.time.Instant;
import org.carobhoist.core.common.Clock;

/** A clock that tests move by hand; its wall clock may be skewed against true time. */
public final class ManualClock implements Clock {

  private static final Instant START = Instant.parse("2026-01-01T00:00:00Z");

  private Duration elapsed = Duration.ZERO;
  private Duration skew = Duration.ZERO;

  /** Moves time on. */
  public void advance(Duration by) {
    elapsed = elapsed.plus(by);
  }

  /** Sets by how much the wall clock is ahead of true time; negative if behind. */
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
