package org.carobhoist.core.rollout;

/** Events of the state machine of a sample; chart {@code sample}. */
public enum SampleEvent {
  /**
   * Every sidecar has reported the samples and attempts of the step that it holds, or has not
   * replied in time.
   */
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
  /**
   * The cursor in the trainer's request contains the sample's group: the trainer has received and
   * stored it.
   */
  ACKED,
  /**
   * The cursor in the trainer's request doesn't contain the sample's group. If an earlier cursor
   * did, the trainer was restored to an older one and needs the group again.
   */
  REOPENED
}
