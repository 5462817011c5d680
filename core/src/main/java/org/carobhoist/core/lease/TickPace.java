package org.carobhoist.core.lease;

import java.time.Duration;
import java.util.Optional;

/**
 * Whether a process still decides in time. It is asked once in each tick; ticks that come late by
 * much, on a mean over about a second, tell of a machine that is slowed or too small. A single long
 * pause tells nothing: the process may have been frozen and be well again.
 */
public final class TickPace {

  /** Mean lateness from which a process is slow; its decisions wait for half of it on average. */
  private static final Duration SLOW = Duration.ofMillis(150);

  /** Weight of one tick in the mean. */
  private static final double GAIN = 0.1;

  /** Most that one tick counts, so that several late ones are needed. */
  private static final Duration MOST = Duration.ofMillis(500);

  private final Duration period;
  private Optional<Duration> last = Optional.empty();
  private double latenessMillis;

  private TickPace(Duration period) {
    this.period = period;
  }

  /** Returns a pace of ticks that should come once a period. */
  public static TickPace create(Duration period) {
    return new TickPace(period);
  }

  /** Forgets all ticks so far. */
  public void reset() {
    last = Optional.empty();
    latenessMillis = 0;
  }

  /** Takes a tick; returns whether the process is slow. */
  public boolean isSlow(Duration now) {
    if (last.isPresent()) {
      Duration late = now.minus(last.get()).minus(period);
      double millis = Math.max(0, Math.min(MOST.toMillis(), late.toMillis()));
      latenessMillis += GAIN * (millis - latenessMillis);
    }
    last = Optional.of(now);
    return latenessMillis >= SLOW.toMillis();
  }

  /** Returns by how much ticks came late on a mean. */
  public Duration lateness() {
    return Duration.ofMillis(Math.round(latenessMillis));
  }
}
