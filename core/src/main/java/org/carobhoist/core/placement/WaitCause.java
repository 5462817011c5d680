package org.carobhoist.core.placement;

/** What keeps an item from an engine, from the farthest to the nearest to being placed. */
public enum WaitCause {
  /** The service has no engine. */
  NO_ENGINE,
  /** No engine has a version of the model that the job allows. */
  VERSION,
  /** The engines that have one load weights. */
  LOADING,
  /** The engines that would do are left alone for a moment after a failure or a refusal. */
  PAUSED,
  /** The engines that would do have no slot. */
  SLOTS,
  /** The engines that have a slot have no memory for the item. */
  MEMORY
}
