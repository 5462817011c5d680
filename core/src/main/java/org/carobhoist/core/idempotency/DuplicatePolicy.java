package org.carobhoist.core.idempotency;

import java.time.Duration;

/**
 * Bounds of the duplicate table.
 *
 * @param maxEntries most keys kept, at least 1
 * @param maxBytes most bytes of answers kept, from 0
 * @param horizon how long an outcome is kept after it is known
 */
public record DuplicatePolicy(int maxEntries, long maxBytes, Duration horizon) {

  /** The default: 5,000 keys, 4 MiB of answers, 10 minutes. */
  public static final DuplicatePolicy DEFAULT =
      new DuplicatePolicy(5_000, 4L * 1024 * 1024, Duration.ofMinutes(10));

  /**
   * Checks the ranges.
   *
   * @throws IllegalArgumentException if one is out of range
   */
  public DuplicatePolicy {
    if (maxEntries < 1 || maxBytes < 0 || horizon.isNegative()) {
      throw new IllegalArgumentException("bounds of the duplicate table are out of range");
    }
  }
}
