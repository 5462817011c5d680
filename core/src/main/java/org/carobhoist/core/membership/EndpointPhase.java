package org.carobhoist.core.membership;

/** Whether an endpoint takes new work, as its sidecar announces it. */
public enum EndpointPhase {
  /** It takes new work. */
  SERVING,
  /** It finishes what it has and takes no new work. */
  DRAINING,
  /** It does not answer its sidecar, or serves no known version. */
  DOWN
}
