package org.carobhoist.core.placement;

/** State of a run as reported by its runner. */
public enum RunOutcome {
  /** The run is still in progress. */
  RUNNING,
  /** The engine ended its stream and marked it as complete. */
  FINISHED,
  /** The engine or the connection to it failed; the text so far can be continued. */
  BROKEN,
  /** The engine had no room or currently accepts no work. */
  NOT_RUN,
  /** The engine answered with an error. */
  FAILED,
  /** The engine reported that the item can never be processed. */
  IMPOSSIBLE,
  /** Another instance answered at the address, or the engine has an unsuitable weight version. */
  MISPLACED,
  /** The run was cancelled. */
  CANCELLED
}
