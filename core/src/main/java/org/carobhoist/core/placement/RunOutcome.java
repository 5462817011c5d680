package org.carobhoist.core.placement;

/** How far a run has come, as its runner reports it. */
public enum RunOutcome {
  /** It goes on. */
  RUNNING,
  /** The engine has ended its stream as complete. */
  FINISHED,
  /** The engine or the way to it failed; the text so far can be continued. */
  BROKEN,
  /** The engine had no room or takes no work now. */
  NOT_RUN,
  /** The engine answered with an error of its own. */
  FAILED,
  /** The engine says that the item can never be done. */
  IMPOSSIBLE,
  /** Another instance answers at the address, or the engine's weights don't fit. */
  MISPLACED,
  /** It was cancelled. */
  CANCELLED
}
