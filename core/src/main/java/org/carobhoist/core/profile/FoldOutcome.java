package org.carobhoist.core.profile;

/**
 * What the fold made of a record.
 *
 * @param status accepted or why not
 * @param current the profile's revision afterwards
 * @param winner id of the change that made the current revision; empty if there is none
 * @param detail one sentence for the operator; empty if accepted
 */
public record FoldOutcome(Status status, Revision current, String winner, String detail) {

  /** Whether a change is in force. */
  public enum Status {
    /** The change is in force. */
    ACCEPTED,
    /** The change builds on a revision that is no longer current. */
    CONFLICT,
    /** The document doesn't check. */
    INVALID,
    /** The change's id has been folded before. */
    REPEATED
  }
}
