package org.carobhoist.core.placement;

/** Why an item isn't placed yet; ordered from the furthest from placement to the nearest. */
public enum WaitCause {
  /** The service has no engines. */
  NO_ENGINE,
  /** No engine serves a version of the model that the job allows. */
  VERSION,
  /** The engines with an allowed version are loading weights. */
  LOADING,
  /** The suitable engines receive no new runs for a short time after a failure or refusal. */
  PAUSED,
  /** The suitable engines have no free slot. */
  SLOTS,
  /** The engines with a free slot lack memory for the item. */
  MEMORY,
  /** An idle engine refused the item; it waits for a short time. */
  REFUSED
}
