package org.carobhoist.core.common;

import java.time.Duration;
import java.util.SplittableRandom;

/**
 * Exponential backoff with jitter. The maximum delay doubles with each failure up to a cap. Each
 * delay is drawn at random between half of the maximum and the maximum, so that processes that
 * failed at the same time don't retry at the same time.
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
   * Returns a backoff without failures.
   *
   * @param base maximum delay after the first failure, greater than 0
   * @param cap maximum of all delays
   */
  public static JitteredBackoff create(Duration base, Duration cap, SplittableRandom random) {
    return new JitteredBackoff(base, cap, random);
  }

  /** Records a failure and returns the delay before the next attempt. */
  public Duration nextDelay() {
    long maxMillis = Math.min(cap.toMillis(), base.toMillis() << Math.min(failures, 20));
    failures++;
    return Duration.ofMillis(random.nextLong(maxMillis / 2, maxMillis + 1));
  }

  /** Records a success: the next failure starts from the base delay again. */
  public void reset() {
    failures = 0;
  }
}
