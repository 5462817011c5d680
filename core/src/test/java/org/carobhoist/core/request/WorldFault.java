package org.carobhoist.core.request;

/** Faults of a simulated world. */
enum WorldFault {
  /** The next frame on the link vanishes. */
  DROP,
  /** The next frame on the link is overtaken by later ones. */
  DELAY,
  /** The next frame on the link arrives twice. */
  DUPLICATE,
  /** The link breaks; both sides notice. */
  RESET,
  /** Nothing passes on the link; nobody notices for a minute. */
  HALF_OPEN,
  /** Data frames after the first vanish, while the end mark passes. */
  TRUNCATE,
  /** The entry dies and is restarted. */
  ENTRY_CRASH,
  /** The sidecar dies and is restarted. */
  SIDECAR_CRASH,
  /** The endpoint dies and is restarted. */
  ENDPOINT_CRASH,
  /** The sidecar is paused for longer than its lease. */
  PAUSE,
  /** Nothing comes back on the link. */
  LOST_ANSWER,
  /** The log is out of reach of the sidecar and of the first entry. */
  SLOW_LOG,
  /** The log is out of everybody's reach. */
  LOG_OUTAGE,
  /** A view without the sidecar is appended, as by an entry that misses it. */
  EVICTION
}
