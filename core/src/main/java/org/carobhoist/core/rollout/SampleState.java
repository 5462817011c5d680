package org.carobhoist.core.rollout;

/** States of a sample at the entry that coordinates its step; chart {@code sample}. */
public enum SampleState {
  /** The sidecars have not yet said what they hold. */
  ASKING,
  /** No attempt is in flight. */
  MISSING,
  /** At least one attempt is in flight. */
  RUNNING,
  /** A whole, fresh sample is at hand. */
  WHOLE,
  /** The trainer holds its group. */
  HELD
}
