package org.carobhoist.core.request;

/**
 * Detects duplicate and late call starts on one link at a sidecar. An entry assigns increasing ids
 * to its calls, so a start whose id is not above all earlier ids is a duplicate or late. Such a
 * start must be dropped, because its call may have been refused as not run in the meantime.
 */
public final class CallStartFilter {

  private long highest = Long.MIN_VALUE;

  private CallStartFilter() {}

  /** Returns the filter of a link on which no call has started yet. */
  public static CallStartFilter create() {
    return new CallStartFilter();
  }

  /**
   * Called with the id of each call start; returns whether the id is above all earlier ones, and
   * remembers it if so.
   */
  public boolean acceptIfNew(long id) {
    if (id <= highest) {
      return false;
    }
    highest = id;
    return true;
  }
}
