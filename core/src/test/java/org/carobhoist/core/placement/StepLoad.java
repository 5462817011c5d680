package org.carobhoist.core.placement;

import java.time.Duration;
import java.util.List;

/** Parameters and results of a {@link StepLoadSimulation}. */
final class StepLoad {

  /** The deadline of the trainers' steps ({@code deadline_ms} of their route). */
  static final Duration DEADLINE = Duration.ofMillis(7_500);

  private StepLoad() {}

  /**
   * A trainer's steps.
   *
   * @param groups number of groups per step
   * @param size number of items per group
   * @param wanted number of complete groups that the trainer waits for
   */
  record TrainerSetup(int groups, int size, int wanted) {}

  /**
   * The load.
   *
   * @param seed seed of all random choices
   * @param trainers the trainers
   * @param engines number of engines
   * @param singleRunInterval time between two events of the only run at an engine
   * @param slowdownPerRun growth of that time with each further run, as a fraction
   * @param estimateError largest relative error of an item's estimated length
   * @param resubmitted largest number of incomplete groups that a trainer submits again
   * @param statesWantedGroups whether jobs contain the number of wanted groups; without it the
   *     coordinator places older jobs first
   * @param duration time after which the simulation ends
   */
  record Setup(
      long seed,
      List<TrainerSetup> trainers,
      int engines,
      Duration singleRunInterval,
      double slowdownPerRun,
      double estimateError,
      int resubmitted,
      boolean statesWantedGroups,
      Duration duration) {}

  /**
   * One step as its trainer saw it.
   *
   * @param took time from the submission until the wanted groups were complete
   * @param groupTimes times from the submission until each group was complete
   */
  record StepRecord(int trainer, Duration submittedAt, Duration took, List<Duration> groupTimes) {}
}
