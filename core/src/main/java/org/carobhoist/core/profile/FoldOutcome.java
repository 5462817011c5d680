package org.carobhoist.core.profile;

/**
 * What the fold made of a change.
 *
 * @param status accepted or why not
 * @param base the revision on which the change builds
 * @param current the profile's revision afterwards
 * @param winner id of the change that made the current revision; empty if there is none
 * @param winnerOperator who made the current revision; empty if there is none
 * @param detail one sentence for the operator; empty if accepted
 */
public record FoldOutcome(
    Status status,
    Revision base,
    Revision current,
    String winner,
    String winnerOperator,
    String detail) {

  /** Whether a change is in force. */
  public enum Status {
    /** The change is in force. */
    ACCEPTED,
    /** The change builds on a revision that is not the current one. */
    CONFLICT,
    /** The document doesn't check, or the kind of change doesn't fit the profile's state. */
    INVALID,
    /** The record or its change has been applied before. */
    REPEATED
  }
}
