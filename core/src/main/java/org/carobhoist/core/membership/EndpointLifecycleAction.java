package org.carobhoist.core.membership;

/** Actions of the endpoint lifecycle; see {@code charts/drain.ini}. */
public enum EndpointLifecycleAction {
  /** Announce the current phase to every entry. */
  ANNOUNCE,
  /** Start the grace period for entries to act on the announcement. */
  START_GRACE,
  /** Refuse new requests. */
  REFUSE_NEW,
  /** Accept new requests again. */
  ADMIT_NEW,
  /** Start the time limit of the drain. */
  START_LIMIT,
  /** Wait until no request is running or queued. */
  AWAIT_IDLE,
  /** Wait until every entry has read all data sent to it. */
  FLUSH,
  /** Allow the process to exit. */
  FINISH
}
