package org.carobhoist.core.membership;

/** Events of the endpoint lifecycle; see {@code charts/drain.ini}. */
public enum EndpointLifecycleEvent {
  /** The endpoint answered a probe. */
  PROBE_OK,
  /** The endpoint failed several consecutive probes, or its first one. */
  PROBE_FAILED,
  /** The instance list or the endpoint reports that the endpoint is leaving. */
  LEAVING,
  /** Neither the instance list nor the endpoint reports that the endpoint is leaving. */
  STAYING,
  /** The sidecar was asked to shut down. */
  STOP,
  /** The grace period for entries to act on the announcement has ended. */
  GRACE_OVER,
  /** No request is running or queued. */
  IDLE,
  /** Every entry has read all data sent to it. */
  FLUSHED,
  /** A shutdown step has exceeded its time limit. */
  LIMIT
}
