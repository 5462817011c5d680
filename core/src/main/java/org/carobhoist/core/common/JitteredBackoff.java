package org.carobhoist.core.common;

import java.time.Duration;
import java.util.SplittableRandom;

/**
 * Delays between attempts that grow from failure to failure up to a cap. Each delay is drawn from
 * the upper half of its range, so that many processes that failed together don't return together.
 */
public final class JitteredBackoff {

  private final Duration base;
  private final Duration cap;
  private final SplittableRandom random;
  private int failures;

  private JitteredBackoff(Duration base, Duration cap, SplittableRandom random) {
    this.base = base;
    this.cap = cap;
    this.random = random;
  }

  /**
   * Returns a back-off without a failure.
   *
   * @param base longest delay after the first failure, above 0
   * @param cap longest delay of all
   */
  public static JitteredBackoff create(Duration base, Duration cap, SplittableRandom random) {
    return new JitteredBackoff(base, cap, random);
  }

  /** Counts a failure and returns the delay before the next attempt. */
  public Duration next() {
    long longest = Math.min(cap.toMillis(), base.toMillis() << Math.min(failures, 20));
    failures++;
    return Duration.ofMillis(random.nextLong(longest / 2, longest + 1));
  }

  /** Counts a success: the next failure is the first one again. */
  public void reset() {
    failures = 0;
  }
}
