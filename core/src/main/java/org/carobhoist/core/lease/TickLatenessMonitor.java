package org.carobhoist.core.lease;

import java.time.Duration;
import java.util.Optional;

/**
 * Detects a process that is too slow to make its decisions in time, from the lateness of periodic
 * ticks. If ticks are late by a large amount, averaged over about a second, the machine is
 * throttled or too small. A single long pause doesn't count as slow, since the process may have
 * been frozen and have recovered.
 */
public final class TickLatenessMonitor {

  /** Average lateness from which a process is slow; decisions wait for half of it on average. */
  private static final Duration SLOW_LATENESS = Duration.ofMillis(150);

  /** Weight of one tick in the moving average. */
  private static final double SMOOTHING_FACTOR = 0.1;

  /** Upper limit for the lateness of one tick, so that it takes several late ticks to be slow. */
  private static final Duration MAX_TICK_LATENESS = Duration.ofMillis(500);

  private final Duration period;
  private Optional<Duration> lastTick = Optional.empty();
  private double averageLatenessMillis;

  private TickLatenessMonitor(Duration period) {
    this.period = period;
  }

  /** Returns a detector for ticks that should come once per period. */
  public static TickLatenessMonitor create(Duration period) {
    return new TickLatenessMonitor(period);
  }

  /** Discards all measurements. */
  public void reset() {
    lastTick = Optional.empty();
    averageLatenessMillis = 0;
  }

  /** Records a tick at the given time; returns whether the process is slow. */
  public boolean recordTick(Duration now) {
    if (lastTick.isPresent()) {
      Duration lateness = now.minus(lastTick.get()).minus(period);
      double cappedMillis =
          Math.max(0, Math.min(MAX_TICK_LATENESS.toMillis(), lateness.toMillis()));
      averageLatenessMillis += SMOOTHING_FACTOR * (cappedMillis - averageLatenessMillis);
    }
    lastTick = Optional.of(now);
    return averageLatenessMillis >= SLOW_LATENESS.toMillis();
  }

  /** Returns the average lateness of ticks. */
  public Duration averageLateness() {
    return Duration.ofMillis(Math.round(averageLatenessMillis));
  }
}
