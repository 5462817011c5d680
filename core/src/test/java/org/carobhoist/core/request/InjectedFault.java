package org.carobhoist.core.request;

/** Faults that are injected into a simulation. */
enum InjectedFault {
  /** The next frame on the link is lost. */
  DROP,
  /** The next frame on the link is overtaken by later ones. */
  DELAY,
  /** The next frame on the link arrives twice. */
  DUPLICATE,
  /** The link breaks; both sides notice. */
  RESET,
  /** The link loses all frames; neither side notices for a minute. */
  HALF_OPEN,
  /** Data frames after the first are lost, but the end frame is delivered. */
  TRUNCATE,
  /** The entry crashes and is restarted. */
  ENTRY_CRASH,
  /** The sidecar crashes and is restarted. */
  SIDECAR_CRASH,
  /** The endpoint crashes and is restarted. */
  ENDPOINT_CRASH,
  /** The sidecar is paused for longer than its lease. */
  PAUSE,
  /** The link loses all frames from the sidecar to the entry. */
  LOST_ANSWER,
  /** The sidecar and the entry can't reach the log. */
  SLOW_LOG,
  /** No process can reach the log. */
  LOG_OUTAGE,
  /** A view without the sidecar is appended, as by an instance that presumes it failed. */
  EVICTION
}
