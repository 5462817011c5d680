package org.carobhoist.core.request;

/**
 * Bounds an entry's retries to a share of its requests, so that retries can't multiply an overload.
 * Each request adds a part of a token, each retry takes a whole one.
 */
public final class RetryBudget {

  private final double perRequest;
  private final double capacity;
  private double tokens;

  private RetryBudget(double perRequest, double capacity) {
    this.perRequest = perRequest;
    this.capacity = capacity;
    this.tokens = capacity;
  }

  /**
   * Returns a full budget.
   *
   * @param perRequest retries allowed per request in the long run, from 0 to 1
   * @param capacity retries allowed at once, at least 1
   */
  public static RetryBudget create(double perRequest, double capacity) {
    return new RetryBudget(perRequest, capacity);
  }

  /** Counts a new request. */
  public void onRequest() {
    tokens = Math.min(capacity, tokens + perRequest);
  }

  /** Takes one retry from the budget; returns whether there was one. */
  public boolean tryRetry() {
    if (tokens < 1) {
      return false;
    }
    tokens -= 1;
    return true;
  }

  /** Returns the retries left, for the state dump. */
  public double tokens() {
    return tokens;
  }
}
