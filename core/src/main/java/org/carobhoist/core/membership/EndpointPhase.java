package org.carobhoist.core.membership;

/** Whether an endpoint accepts new work, as announced by its sidecar. */
public enum EndpointPhase {
  /** The endpoint accepts new work. */
  SERVING,
  /** The endpoint completes accepted work and refuses new work. */
  DRAINING,
  /** The endpoint doesn't respond to its sidecar, or serves no known version. */
  DOWN
}
