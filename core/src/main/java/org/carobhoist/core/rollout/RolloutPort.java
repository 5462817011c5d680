package org.carobhoist.core.rollout;

import java.util.List;
import org.carobhoist.core.common.InstanceId;

/**
 * The interface through which a {@link StepCoordinator} sends messages to the engines' sidecars.
 * Any message may be lost.
 */
public interface RolloutPort {

  /** Returns the engines that currently accept new attempts. */
  List<EngineView> engines();

  /**
   * Queries an engine's sidecar for the samples and attempts of the step that it holds. The reply
   * is passed to {@link StepCoordinator#onHeld}.
   *
   * @param query number of the query, which the reply repeats
   * @param attempts the attempts to report on; empty for all of the step
   */
  void queryHeld(InstanceId engine, StepKey step, long query, List<AttemptKey> attempts);

  /** Starts an attempt at an engine. */
  void start(InstanceId engine, AttemptOrder order);

  /**
   * Cancels an attempt at an engine.
   *
   * @param handBack whether the sidecar must report the attempt as failed, with the tokens
   *     generated so far
   */
  void cancel(InstanceId engine, AttemptKey attempt, boolean handBack);

  /**
   * Reports to an engine's sidecar which groups the trainer holds.
   *
   * @param finished whether the trainer holds all groups of the step
   */
  void acknowledge(InstanceId engine, StepKey step, GroupCursor cursor, boolean finished);
}
