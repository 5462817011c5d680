package org.carobhoist.core.duty;

/** Actions of the state machine of a duty's calls; see {@code charts/duty.ini}. */
public enum DutyAction {
  /** Send the call. */
  SEND,
  /** Report that the call was accepted. */
  COMPLETE,
  /** Start the backoff. */
  PAUSE,
  /** Report that the term is outdated. */
  REPORT_FENCED,
  /** Stop waiting for the answer or for the end of the backoff. */
  ABANDON
}
