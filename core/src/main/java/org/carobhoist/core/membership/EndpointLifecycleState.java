package org.carobhoist.core.membership;

/** States of the endpoint lifecycle; see {@code charts/drain.ini}. */
public enum EndpointLifecycleState {
  /** The endpoint has not been probed yet. */
  STARTING,
  /** The endpoint responds to probes and accepts new requests. */
  SERVING,
  /** The endpoint doesn't respond to probes. */
  DOWN,
  /** The endpoint is leaving and entries are being notified; requests in transit are accepted. */
  RETIRING,
  /** The endpoint is leaving and refuses new requests; those accepted before are completed. */
  COMPLETING,
  /** The endpoint is leaving, refuses new requests, and none is running or queued. */
  RETIRED,
  /** The sidecar is stopping and entries are being notified; requests in transit are accepted. */
  NOTIFYING,
  /** The sidecar is stopping and completes the requests that it has accepted. */
  DRAINING,
  /** Draining has ended; entries are reading the last responses. */
  FLUSHING,
  /** The sidecar process may exit. */
  STOPPED
}
