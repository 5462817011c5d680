package org.carobhoist.core.rollout;

/** Actions of a sample; chart {@code sample}. */
public enum SampleAction {
  /** Put the sample among those to be started. */
  ENQUEUE,
  /** Keep the whole sample for its group. */
  KEEP,
  /** Drop the whole sample as wasted. */
  DROP,
  /** Forget the whole sample, which its trainer holds. */
  RELEASE,
  /** Cancel every attempt that is still in flight. */
  CANCEL_REST
}
