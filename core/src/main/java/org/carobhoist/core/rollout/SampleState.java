package org.carobhoist.core.rollout;

/** States of a sample at the entry that coordinates its step; chart {@code sample}. */
public enum SampleState {
  /** Not all sidecars have reported which samples and attempts of the step they hold. */
  ASKING,
  /** No attempt is in flight. */
  MISSING,
  /** At least one attempt is in flight. */
  RUNNING,
  /** A complete sample within the staleness bound is available. */
  WHOLE,
  /** The trainer has received and stored the sample's group. */
  HELD
}
