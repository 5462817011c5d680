package org.carobhoist.core.idempotency;

import java.time.Duration;

/**
 * Size and retention limits of a {@link DuplicateTable}.
 *
 * @param maxEntries maximum number of keys, at least 1
 * @param maxBytes maximum total size of the stored answers in bytes, at least 0
 * @param retention how long an outcome is retained after the request has ended
 */
public record DuplicatePolicy(int maxEntries, long maxBytes, Duration retention) {

  /** Default limits: 5,000 keys, 4 MiB of answers, 10 minutes. */
  public static final DuplicatePolicy DEFAULT =
      new DuplicatePolicy(5_000, 4L * 1024 * 1024, Duration.ofMinutes(10));

  /**
   * Validates the limits.
   *
   * @throws IllegalArgumentException if a limit is out of range
   */
  public DuplicatePolicy {
    if (maxEntries < 1 || maxBytes < 0 || retention.isNegative()) {
      throw new IllegalArgumentException("limits of the duplicate table are out of range");
    }
  }
}
