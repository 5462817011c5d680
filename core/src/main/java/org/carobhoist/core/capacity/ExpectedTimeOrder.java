package org.carobhoist.core.capacity;

/**
 * The choice between two endpoints: the one with the clearly lower expected time; if the times
 * differ by less than the given ratio, the one with the lower load.
 *
 * @param equalRatio ratio of expected times up to which endpoints count as equally fast
 */
public record ExpectedTimeOrder(double equalRatio) {

  /** Expected time of one more request at an endpoint, and its load as a fraction of the slots. */
  public record Option(double expectedNanos, double load) {}

  /** Returns whether the first endpoint is better than the second. */
  public boolean isBetter(Option a, Option b) {
    if (isClearlyFaster(a, b) || isClearlyFaster(b, a)) {
      return a.expectedNanos() < b.expectedNanos();
    }
    return a.load() < b.load();
  }

  /** Returns whether the expected time at the first endpoint is clearly lower. */
  public boolean isClearlyFaster(Option a, Option b) {
    return a.expectedNanos() * equalRatio < b.expectedNanos();
  }
}
