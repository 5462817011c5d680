package org.carobhoist.core.duty;

/** States of the state machine of a duty's calls; see {@code charts/duty.ini}. */
public enum DutyState {
  /** No call is in flight; one may be sent. */
  READY,
  /** A call was sent and has no answer yet. */
  IN_FLIGHT,
  /** A call failed; the next one follows after a backoff. */
  BACKING_OFF,
  /** A higher fencing number was seen; no call is sent until the term rises. */
  FENCED
}
