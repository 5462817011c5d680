package org.carobhoist.core.membership;

/** States of an endpoint as its sidecar sees it; see {@code charts/drain.ini}. */
public enum EndpointLifeState {
  /** Not probed yet. */
  STARTING,
  /** The endpoint answers and takes new work. */
  SERVING,
  /** The endpoint doesn't answer its sidecar. */
  DOWN,
  /** The endpoint is leaving, which entries are being told; work under way is still taken. */
  RETIRING,
  /** The endpoint is leaving and takes no new work. */
  RETIRED,
  /** The sidecar stops, which entries are being told; work under way is still taken. */
  NOTIFYING,
  /** The sidecar stops and finishes what it has. */
  DRAINING,
  /** Everything is finished; entries are reading the last answers. */
  FLUSHING,
  /** The sidecar may end. */
  STOPPED
}
