package org.carobhoist.core.rollout;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import org.carobhoist.core.rollout.RolloutPolicy.SwapPolicy;
import org.carobhoist.core.rollout.RolloutSimulation.LifePoint;
import org.carobhoist.core.testing.FaultMatrix;
import org.carobhoist.core.testing.FaultMatrix.Injection;
import org.carobhoist.core.testing.Schedules;
import org.junit.jupiter.api.Test;

/** Injects every fault at every point of a sample's life, alone and in pairs, and at random. */
final class RolloutFaultMatrixTest {

  private static final Duration TIME_LIMIT = Duration.ofMinutes(3);
  private static final int SCHEDULES = 1500;
  private static final long SEED = 7;

  private enum Fault {
    ENTRY_CRASH(RolloutSimulation::crashEntry),
    SIDECAR_CRASH(RolloutSimulation::crashSidecar),
    ENGINE_CRASH(RolloutSimulation::crashEngine),
    TRAINER_CRASH(RolloutSimulation::crashTrainer),
    LOST_MESSAGES(RolloutSimulation::loseMessages),
    LATE_MESSAGES(RolloutSimulation::delayMessages),
    DUPLICATED_MESSAGES(RolloutSimulation::duplicateMessages),
    UNKNOWN_SAMPLES(RolloutSimulation::sendUnknownSamples),
    SWAP(RolloutSimulation::swapWeights),
    FAILED_SWAP(RolloutSimulation::failSwap),
    PAUSE(RolloutSimulation::pauseSidecar),
    NO_VERSION(RolloutSimulation::omitVersion),
    CUT_STREAM(RolloutSimulation::cutStreams),
    TRAINER_ADVANCES(RolloutSimulation::advanceTrainer);

    private final Consumer<RolloutSimulation> effect;

    Fault(Consumer<RolloutSimulation> effect) {
      this.effect = effect;
    }
  }

  @Test
  void toleratesEveryFaultAtEveryPoint() throws Exception {
    FaultMatrix<LifePoint, Fault> matrix = FaultMatrix.of("sample", LifePoint.class, Fault.class);
    List<String> failures =
        matrix.run(
            cell -> run(RolloutSetup.small(SwapPolicy.KEEP, new RolloutSetup.Seams()), cell));
    assertThat(failures).isEmpty();
    assertThat(matrix.cellCount()).isGreaterThan(LifePoint.values().length * Fault.values().length);
  }

  @Test
  void toleratesRandomFaults() {
    assertThat(Schedules.explore(SEED, SCHEDULES, r -> randomRun(r, new RolloutSetup.Seams())))
        .isEmpty();
  }

  /** Runs with a random swap policy and up to six faults at random times. */
  static Optional<String> randomRun(SplittableRandom random, RolloutSetup.Seams seams) {
    SwapPolicy policy = SwapPolicy.values()[random.nextInt(SwapPolicy.values().length)];
    RolloutSimulation simulation =
        new RolloutSimulation(RolloutSetup.small(policy, seams), random.split(), m -> {});
    int faults = random.nextInt(7);
    for (int i = 0; i < faults; i++) {
      Fault fault = Fault.values()[random.nextInt(Fault.values().length)];
      simulation.at(Duration.ofMillis(random.nextInt(2500)), () -> fault.effect.accept(simulation));
    }
    return simulation.run(TIME_LIMIT);
  }

  private static Optional<String> run(RolloutSetup setup, List<Injection<LifePoint, Fault>> cell) {
    RolloutSimulation[] simulation = new RolloutSimulation[1];
    simulation[0] =
        new RolloutSimulation(
            setup,
            new SplittableRandom(SEED),
            point ->
                cell.stream()
                    .filter(i -> i.step() == point)
                    .forEach(i -> i.fault().effect.accept(simulation[0])));
    return simulation[0].run(TIME_LIMIT);
  }
}
