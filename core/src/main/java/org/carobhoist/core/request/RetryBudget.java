package org.carobhoist.core.request;

/**
 * Token bucket that limits the retries of an instance to a share of its requests, so that retries
 * can't amplify an overload. Each request adds a fraction of a token, each retry uses a whole one.
 */
public final class RetryBudget {

  private final double tokensPerRequest;
  private final double capacity;
  private double tokens;

  private RetryBudget(double tokensPerRequest, double capacity) {
    this.tokensPerRequest = tokensPerRequest;
    this.capacity = capacity;
    this.tokens = capacity;
  }

  /**
   * Returns a full budget.
   *
   * @param tokensPerRequest tokens added per request, from 0 to 1; limits the long-run retry ratio
   * @param capacity most tokens held, at least 1; the largest burst of retries
   */
  public static RetryBudget create(double tokensPerRequest, double capacity) {
    return new RetryBudget(tokensPerRequest, capacity);
  }

  /** Called for each new request; adds its fraction of a token. */
  public void onRequest() {
    tokens = Math.min(capacity, tokens + tokensPerRequest);
  }

  /** Uses one token for a retry; returns false if less than one token is left. */
  public boolean tryRetry() {
    if (tokens < 1) {
      return false;
    }
    tokens -= 1;
    return true;
  }

  /** Returns the tokens left, for the state dump. */
  public double tokens() {
    return tokens;
  }
}
