package org.carobhoist.core.request;

/**
 * Tells whether an event stream ({@code text/event-stream}) ends between two events. A stream
 * without a content length ends with its connection, so this is the only sign that the server
 * stopped in the middle of an event.
 */
public final class EventStreamPosition {

  private boolean inEvent;
  private boolean lineIsEmpty = true;
  private boolean lineIsComment;
  private boolean afterCarriageReturn;

  private EventStreamPosition() {}

  /** Returns the position at the start of a stream. */
  public static EventStreamPosition atStart() {
    return new EventStreamPosition();
  }

  /** Moves behind the given bytes of the stream. */
  public void advance(byte[] bytes) {
    for (byte b : bytes) {
      onByte(b);
    }
  }

  /** Returns whether all events so far are complete; comments don't count. */
  public boolean isBetweenEvents() {
    return !inEvent;
  }

  private void onByte(byte b) {
    boolean secondOfLineEnd = b == '\n' && afterCarriageReturn;
    afterCarriageReturn = b == '\r';
    if (secondOfLineEnd) {
      return;
    }
    if (b == '\n' || b == '\r') {
      inEvent &= !lineIsEmpty;
      lineIsEmpty = true;
      lineIsComment = false;
      return;
    }
    lineIsComment |= lineIsEmpty && b == ':';
    lineIsEmpty = false;
    inEvent |= !lineIsComment;
  }
}
