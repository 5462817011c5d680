package org.carobhoist.core.lease;

import java.time.Duration;
import java.util.Optional;

/**
 * Detects a process that is too slow to make its decisions in time, from the lateness of periodic
 * ticks. If ticks are late by a large amount, averaged over about a second, the machine is
 * throttled or too small. A single long pause doesn't count as slow, since the process may have
 * been frozen and have recovered.
 */
public final class TickPace {

  /** Average lateness from which a process is slow; decisions wait for half of it on average. */
  private static final Duration SLOW = Duration.ofMillis(150);

  /** Weight of one tick in the moving average. */
  private static final double GAIN = 0.1;

  /** Upper limit for the lateness of one tick, so that it takes several late ticks to be slow. */
  private static final Duration MOST = Duration.ofMillis(500);

  private final Duration period;
  private Optional<Duration> last = Optional.empty();
  private double latenessMillis;

  private TickPace(Duration period) {
    this.period = period;
  }

  /** Returns a detector for ticks that should come once per period. */
  public static TickPace create(Duration period) {
    return new TickPace(period);
  }

  /** Discards all measurements. */
  public void reset() {
    last = Optional.empty();
    latenessMillis = 0;
  }

  /** Records a tick at the given time; returns whether the process is slow. */
  public boolean isSlow(Duration now) {
    if (last.isPresent()) {
      Duration late = now.minus(last.get()).minus(period);
      double millis = Math.max(0, Math.min(MOST.toMillis(), late.toMillis()));
      latenessMillis += GAIN * (millis - latenessMillis);
    }
    last = Optional.of(now);
    return latenessMillis >= SLOW.toMillis();
  }

  /** Returns the average lateness of ticks. */
  public Duration lateness() {
    return Duration.ofMillis(Math.round(latenessMillis));
  }
}
