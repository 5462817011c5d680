package org.carobhoist.core.request;

/**
 * Checks that the frames of one answer fit together: one head, then data frames numbered from 0
 * without a gap or a repeat, then an end that names their number.
 */
public final class AnswerFrames {

  private boolean headSeen;
  private int next;

  private AnswerFrames() {}

  /** Returns the check of an answer of which nothing has arrived. */
  public static AnswerFrames create() {
    return new AnswerFrames();
  }

  /** Takes a head; returns whether it is the first. */
  public boolean onHead() {
    boolean first = !headSeen;
    headSeen = true;
    return first;
  }

  /** Takes a data frame; returns whether it is the next one. */
  public boolean onData(int sequence) {
    if (!headSeen || sequence != next) {
      return false;
    }
    next++;
    return true;
  }

  /** Takes the end; returns whether the answer is whole. */
  public boolean onEnd(int frames) {
    return headSeen && frames == next;
  }
}
