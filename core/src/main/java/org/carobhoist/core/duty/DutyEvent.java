package org.carobhoist.core.duty;

/** Events of the state machine of a duty's calls; see {@code charts/duty.ini}. */
public enum DutyEvent {
  /** There is a call to send, and this process may send it now. */
  SEND_DUE,
  /** The platform accepted the call. */
  ACCEPTED,
  /** The platform refused the call for now, or gave no answer; it must be repeated. */
  UNANSWERED,
  /** The platform has seen a higher fencing number. */
  OUTDATED,
  /** The backoff after a failure is over. */
  TIMER,
  /** This process no longer holds the lease. */
  LEASE_LOST,
  /** This process holds the lease with a higher term than before. */
  NEW_TERM
}
