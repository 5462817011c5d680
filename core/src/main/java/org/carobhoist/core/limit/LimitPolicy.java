package org.carobhoist.core.limit;

import java.time.Duration;

/**
 * Bounds of a sidecar's admission.
 *
 * @param initial concurrency limit at the start, at least 1
 * @param min lowest concurrency limit, at least 1
 * @param max highest concurrency limit
 * @param queueLength most requests that wait, from 0
 * @param queueTime longest wait of a request without a deadline
 */
public record LimitPolicy(int initial, int min, int max, int queueLength, Duration queueTime) {

  /**
   * Checks the ranges.
   *
   * @throws IllegalArgumentException if they contradict each other
   */
  public LimitPolicy {
    if (min < 1 || max < min || initial < min || initial > max || queueLength < 0) {
      throw new IllegalArgumentException("limits contradict each other");
    }
  }
}
