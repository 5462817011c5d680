package org.carobhoist.core.membership;

/** Events of an endpoint as its sidecar sees it; see {@code charts/drain.ini}. */
public enum EndpointLifeEvent {
  /** The endpoint answered a probe. */
  PROBE_OK,
  /** The endpoint failed several probes in a row. */
  PROBE_FAILED,
  /** The instance list or the endpoint says that it is leaving. */
  LEAVING,
  /** The instance list and the endpoint say that it stays. */
  STAYING,
  /** The sidecar was asked to stop. */
  STOP,
  /** Entries have had time to act on the announcement. */
  GRACE_OVER,
  /** Nothing runs and nothing waits. */
  IDLE,
  /** Every entry has read what was sent to it. */
  FLUSHED,
  /** A step of the stop took too long. */
  LIMIT
}
