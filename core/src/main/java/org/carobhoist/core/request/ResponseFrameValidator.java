package org.carobhoist.core.request;

/**
 * Validates the frame sequence of one response: one head frame, then data frames numbered from 0
 * without gaps or duplicates, then an end frame that carries the number of data frames.
 */
public final class ResponseFrameValidator {

  private boolean headSeen;
  private int nextSequence;

  private ResponseFrameValidator() {}

  /** Returns a validator for a response of which no frame has arrived yet. */
  public static ResponseFrameValidator create() {
    return new ResponseFrameValidator();
  }

  /** Called when a head frame arrives; returns whether it is the first one. */
  public boolean onHead() {
    boolean first = !headSeen;
    headSeen = true;
    return first;
  }

  /**
   * Called when a data frame arrives; returns whether it is the next one. Returns false before the
   * head, for a gap and for a duplicate.
   */
  public boolean onData(int sequence) {
    if (!headSeen || sequence != nextSequence) {
      return false;
    }
    nextSequence++;
    return true;
  }

  /** Called when the end frame arrives; returns whether the response is complete. */
  public boolean onEnd(int frames) {
    return headSeen && frames == nextSequence;
  }
}
