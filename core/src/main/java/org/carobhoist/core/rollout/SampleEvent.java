package org.carobhoist.core.rollout;

/** Events of the state machine of a sample; chart {@code sample}. */
public enum SampleEvent {
  /** Every sidecar has reported what it holds, or has not replied in time. */
  KNOWN,
  /** An attempt was assigned to an engine. */
  START,
  /** A sidecar reports an attempt in flight that was unknown to this entry. */
  FOUND,
  /** A complete sample within the staleness bound has arrived. */
  DONE,
  /** The last attempt in flight has failed, was lost or was abandoned. */
  GONE,
  /** The complete sample is now too old for the trainer. */
  STALE,
  /** The trainer's cursor holds the group. */
  ACKED,
  /** The trainer's cursor doesn't hold the group. */
  REOPENED
}
