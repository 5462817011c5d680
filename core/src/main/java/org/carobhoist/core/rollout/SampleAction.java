package org.carobhoist.core.rollout;

/** Actions of the state machine of a sample; chart {@code sample}. */
public enum SampleAction {
  /** Add the sample to the queue of samples to start. */
  ENQUEUE,
  /** Keep the complete sample for its group. */
  KEEP,
  /** Discard the complete sample and count its tokens as wasted. */
  DROP,
  /** Release the complete sample, which the trainer now holds. */
  RELEASE,
  /** Cancel every attempt that is still in flight. */
  CANCEL_REST
}
