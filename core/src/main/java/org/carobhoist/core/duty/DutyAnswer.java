package org.carobhoist.core.duty;

/** Answers of the platform to a call of a duty. */
public enum DutyAnswer {
  /** The call was accepted. */
  ACCEPTED,
  /** A higher fencing number was seen. */
  OUTDATED,
  /** The call was refused for now, failed, or got no answer; it may still be executed. */
  NONE
}
