package org.carobhoist.core.rollout;

import org.carobhoist.core.common.InstanceId;

/** What a {@link StepCoordinator} asks of its surroundings. */
public interface RolloutPort {

  /** Asks every linked engine what it holds of the step; each answer comes back as an event. */
  void queryHeld(StepKey step);

  /** Starts an attempt at an engine. */
  void start(InstanceId engine, AttemptKey attempt, String prompt, int maxTokens);

  /** Cancels an attempt at an engine. */
  void cancel(InstanceId engine, AttemptKey attempt);

  /** Tells every linked engine which groups its trainer holds. */
  void acknowledge(StepKey step, GroupCursor cursor);
}
