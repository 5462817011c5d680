package org.carobhoist.core.account;

import java.util.Comparator;
import java.util.OptionalInt;

/**
 * Urgency of a request relative to others. The account's priority takes precedence over the
 * route's; the more urgent request comes first in the natural order. A priority that isn't stated
 * comes after all stated ones, so that a manifest only has to name what is urgent.
 *
 * @param account the priority of the request's account, 0 is the most urgent
 * @param route the priority of the request's route, 0 is the most urgent
 */
public record RequestPriority(int account, int route) implements Comparable<RequestPriority> {

  private static final int NOT_STATED = Integer.MAX_VALUE;

  private static final Comparator<RequestPriority> ORDER =
      Comparator.comparingInt(RequestPriority::account).thenComparingInt(RequestPriority::route);

  /** Returns the priority of a request from the stated priorities of its account and route. */
  public static RequestPriority of(OptionalInt account, OptionalInt route) {
    return new RequestPriority(account.orElse(NOT_STATED), route.orElse(NOT_STATED));
  }

  @Override
  public int compareTo(RequestPriority other) {
    return ORDER.compare(this, other);
  }
}
