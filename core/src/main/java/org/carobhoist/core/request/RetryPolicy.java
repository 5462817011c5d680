package org.carobhoist.core.request;

/**
 * Limits how often a request is attempted.
 *
 * @param maxAttempts attempts including the first one, at least 1
 */
public record RetryPolicy(int maxAttempts) {

  /**
   * Validates the range.
   *
   * @throws IllegalArgumentException if {@code maxAttempts} is below 1
   */
  public RetryPolicy {
    if (maxAttempts < 1) {
      throw new IllegalArgumentException("maxAttempts is below 1: " + maxAttempts);
    }
  }
}
