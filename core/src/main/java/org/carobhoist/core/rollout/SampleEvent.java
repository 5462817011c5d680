package org.carobhoist.core.rollout;

/** Events of a sample; chart {@code sample}. */
public enum SampleEvent {
  /** Every sidecar has said what it holds, or its time is up. */
  KNOWN,
  /** An attempt was given to an engine. */
  START,
  /** A sidecar reports an attempt in flight that this entry did not know. */
  FOUND,
  /** A whole, fresh sample has arrived. */
  DONE,
  /** The last attempt in flight has failed, was lost or was given up. */
  GONE,
  /** The whole sample at hand is too old for the trainer. */
  STALE,
  /** The trainer's cursor names the group. */
  ACKED,
  /** The trainer's cursor no longer names the group. */
  REOPENED
}
