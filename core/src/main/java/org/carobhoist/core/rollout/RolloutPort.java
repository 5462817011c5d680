package org.carobhoist.core.rollout;

import java.util.List;
import org.carobhoist.core.common.InstanceId;

/** What a {@link StepCoordinator} asks of its surroundings. Every message may be lost. */
public interface RolloutPort {

  /** Returns the engines that take new work at the moment. */
  List<EngineView> engines();

  /**
   * Asks an engine's sidecar what it holds of the step; the answer comes back as an event.
   *
   * @param query number of the question
   * @param attempts the attempts asked for; none for all of the step
   */
  void queryHeld(InstanceId engine, StepKey step, long query, List<AttemptKey> attempts);

  /** Starts an attempt at an engine. */
  void start(InstanceId engine, AttemptOrder order);

  /**
   * Cancels an attempt at an engine.
   *
   * @param handBack whether its sidecar is to report the failure with the tokens made so far
   */
  void cancel(InstanceId engine, AttemptKey attempt, boolean handBack);

  /**
   * Tells an engine's sidecar which groups the trainer holds.
   *
   * @param finished whether these are all groups of the step
   */
  void acknowledge(InstanceId engine, StepKey step, GroupCursor cursor, boolean finished);
}
