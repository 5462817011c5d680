package org.carobhoist.core.request;

/**
 * How often a request is sent again.
 *
 * @param maxAttempts attempts in all, at least 1
 */
public record RetryPolicy(int maxAttempts) {

  /**
   * Checks the range.
   *
   * @throws IllegalArgumentException if {@code maxAttempts} is below 1
   */
  public RetryPolicy {
    if (maxAttempts < 1) {
      throw new IllegalArgumentException("maxAttempts is below 1: " + maxAttempts);
    }
  }
}
