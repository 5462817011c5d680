package org.carobhoist.core.profile;

/**
 * Outcome of applying a profile change.
 *
 * @param status whether the change was accepted, or why not
 * @param base the revision on which the change is based
 * @param current the profile's revision after the change was processed
 * @param winner id of the change that created the current revision; empty if there is none
 * @param winnerOperator operator who made that change; empty if there is none
 * @param detail explanation for the operator; empty if accepted
 */
public record FoldOutcome(
    Status status,
    Revision base,
    Revision current,
    String winner,
    String winnerOperator,
    String detail) {

  /** Result of a change. */
  public enum Status {
    /** The change has taken effect. */
    ACCEPTED,
    /** The change is based on a revision that is not the current one. */
    CONFLICT,
    /** The document is invalid, or the kind of change is not allowed in the profile's state. */
    INVALID,
    /** The record, or a copy of the same change, has been applied before. */
    REPEATED
  }
}
