package org.carobhoist.core.placement;

import static com.google.common.truth.Truth.assertWithMessage;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.carobhoist.core.placement.StepLoad.Setup;
import org.carobhoist.core.placement.StepLoad.StepRecord;
import org.carobhoist.core.placement.StepLoad.TrainerSetup;
import org.junit.jupiter.api.Test;

/**
 * Guards against an order of the waiting items that makes steps late when the engines have fewer
 * slots than the steps have items. Four trainers share the engines; jobs that don't state how many
 * groups they wait for are placed older job first, which is what the order is compared with. The
 * simulation is deterministic; the bounds leave room for the spread between sets of seeds.
 */
final class StepOrderLoadTest {

  private static final int[] SEEDS = {1, 2, 3, 4};

  private static final Duration SINGLE_RUN_INTERVAL = Duration.ofMillis(20);
  private static final double SLOWDOWN_PER_RUN = 0.15;
  private static final double ESTIMATE_ERROR = 0.25;

  private static final List<TrainerSetup> TRAINERS =
      List.of(
          new TrainerSetup(12, 8, 9),
          new TrainerSetup(10, 8, 8),
          new TrainerSetup(6, 16, 6),
          new TrainerSetup(6, 16, 5));

  /** Totals over all seeds; a group counts if its trainer got it by the deadline. */
  private record Outcome(int steps, int lateSteps, int groupsOnTime, int moves, String trainers) {}

  private static Outcome run(int engines, int resubmitted, boolean stated) {
    List<StepRecord> all = new ArrayList<>();
    int moves = 0;
    for (int seed : SEEDS) {
      StepLoadSimulation simulation =
          new StepLoadSimulation(
              new Setup(
                  seed,
                  TRAINERS,
                  engines,
                  SINGLE_RUN_INTERVAL,
                  SLOWDOWN_PER_RUN,
                  ESTIMATE_ERROR,
                  resubmitted,
                  stated,
                  Duration.ofSeconds(120)));
      all.addAll(simulation.run());
      moves += simulation.moves();
    }
    int late = (int) all.stream().filter(s -> isLate(s.took())).count();
    int onTime =
        (int) all.stream().flatMap(s -> s.groupTimes().stream()).filter(t -> !isLate(t)).count();
    StringBuilder perTrainer = new StringBuilder();
    for (int t = 0; t < TRAINERS.size(); t++) {
      int trainer = t;
      List<Duration> took =
          all.stream().filter(s -> s.trainer() == trainer).map(StepRecord::took).sorted().toList();
      perTrainer.append(' ').append(took.size()).append(" steps, median ");
      perTrainer.append(took.get(took.size() / 2).toMillis()).append(" ms;");
    }
    return new Outcome(all.size(), late, onTime, moves, perTrainer.toString());
  }

  private static boolean isLate(Duration time) {
    return time.compareTo(StepLoad.DEADLINE) > 0;
  }

  @Test
  void stepsThatSkipGroupsGetMoreGroupsOnTimeIfSlotsAreScarce() {
    Outcome older = run(14, 0, false);
    Outcome steps = run(14, 0, true);
    String outcomes = "older job first: " + older + "; by steps: " + steps;
    assertWithMessage(outcomes)
        .that(steps.groupsOnTime())
        .isGreaterThan(older.groupsOnTime() * 110 / 100);
    assertWithMessage(outcomes).that(steps.lateSteps()).isLessThan(older.lateSteps() * 3 / 4);
  }

  @Test
  void stepsWithGroupsSubmittedAgainAreLessOftenLateIfSlotsAreScarce() {
    Outcome older = run(14, 2, false);
    Outcome steps = run(14, 2, true);
    String outcomes = "older job first: " + older + "; by steps: " + steps;
    assertWithMessage(outcomes)
        .that(steps.groupsOnTime())
        .isGreaterThan(older.groupsOnTime() * 97 / 100);
    assertWithMessage(outcomes).that(steps.lateSteps()).isLessThan(older.lateSteps() * 9 / 10);
  }

  @Test
  void enoughSlotsGiveAsManyGroupsOnTimeAsBefore() {
    Outcome older = run(28, 2, false);
    Outcome steps = run(28, 2, true);
    String outcomes = "older job first: " + older + "; by steps: " + steps;
    assertWithMessage(outcomes)
        .that(steps.groupsOnTime())
        .isGreaterThan(older.groupsOnTime() * 97 / 100);
  }
}
