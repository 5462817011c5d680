package org.carobhoist.core.membership;

/** Actions of an endpoint's life; see {@code charts/drain.ini}. */
public enum EndpointLifeAction {
  /** Tell every entry the phase. */
  ANNOUNCE,
  /** Wait until entries have acted on the announcement. */
  START_GRACE,
  /** Refuse new work. */
  REFUSE_NEW,
  /** Take new work again. */
  ADMIT_NEW,
  /** Wait until nothing runs and nothing waits. */
  AWAIT_IDLE,
  /** Wait until every entry has read what was sent to it. */
  FLUSH,
  /** Let the process end. */
  FINISH
}
