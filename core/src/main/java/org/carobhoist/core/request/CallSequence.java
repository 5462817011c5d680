package org.carobhoist.core.request;

/**
 * Tells at a sidecar whether the start of a call is the first of its id on one link. An entry
 * numbers its calls upwards, so a start whose id isn't above every earlier one is doubled or late
 * and must be dropped: its call may have been refused as not run in the meantime.
 */
public final class CallSequence {

  private long highest = Long.MIN_VALUE;

  private CallSequence() {}

  /** Returns the sequence of a link on which no call has started. */
  public static CallSequence create() {
    return new CallSequence();
  }

  /** Takes the id of a start; returns whether it is above every earlier one. */
  public boolean isNew(long id) {
    if (id <= highest) {
      return false;
    }
    highest = id;
    return true;
  }
}
