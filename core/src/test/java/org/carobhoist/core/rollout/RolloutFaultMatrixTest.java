package org.carobhoist.core.rollout;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import org.carobhoist.core.rollout.RolloutPolicy.SwapPolicy;
import org.carobhoist.core.rollout.RolloutWorld.Moment;
import org.carobhoist.core.testing.FaultMatrix;
import org.carobhoist.core.testing.FaultMatrix.Injection;
import org.carobhoist.core.testing.Schedules;
import org.junit.jupiter.api.Test;

/** Injects every fault at every point of a sample's life, alone and in pairs, and at random. */
final class RolloutFaultMatrixTest {

  private static final Duration LIMIT = Duration.ofMinutes(3);
  private static final int SCHEDULES = 1500;
  private static final long SEED = 7;

  private enum Fault {
    ENTRY_CRASH(RolloutWorld::crashEntry),
    SIDECAR_CRASH(RolloutWorld::crashSidecar),
    ENGINE_CRASH(RolloutWorld::crashEngine),
    TRAINER_CRASH(RolloutWorld::crashTrainer),
    LOST_MESSAGES(RolloutWorld::loseMessages),
    LATE_MESSAGES(RolloutWorld::delayMessages),
    DOUBLED_MESSAGES(RolloutWorld::doubleMessages),
    FOREIGN_MESSAGES(RolloutWorld::sendForeign),
    SWAP(RolloutWorld::swapNow),
    FAILED_SWAP(RolloutWorld::failSwap),
    PAUSE(RolloutWorld::pauseSidecar),
    NO_VERSION(RolloutWorld::hideVersion),
    CUT_STREAM(RolloutWorld::cutStreams),
    TRAINER_MOVES_ON(RolloutWorld::advanceTrainer);

    private final Consumer<RolloutWorld> effect;

    Fault(Consumer<RolloutWorld> effect) {
      this.effect = effect;
    }
  }

  @Test
  void everyFaultAtEveryMoment() throws Exception {
    FaultMatrix<Moment, Fault> matrix = FaultMatrix.of("sample", Moment.class, Fault.class);
    List<String> broken =
        matrix.run(
            cell -> run(RolloutSetup.small(SwapPolicy.KEEP, new RolloutSetup.Seams()), cell));
    assertThat(broken).isEmpty();
    assertThat(matrix.tried()).isGreaterThan(Moment.values().length * Fault.values().length);
  }

  @Test
  void randomSchedules() {
    assertThat(Schedules.explore(SEED, SCHEDULES, r -> randomRun(r, new RolloutSetup.Seams())))
        .isEmpty();
  }

  /** Runs with a random swap policy and up to six faults at random times. */
  static Optional<String> randomRun(SplittableRandom random, RolloutSetup.Seams seams) {
    SwapPolicy policy = SwapPolicy.values()[random.nextInt(SwapPolicy.values().length)];
    RolloutWorld world =
        new RolloutWorld(RolloutSetup.small(policy, seams), random.split(), m -> {});
    int faults = random.nextInt(7);
    for (int i = 0; i < faults; i++) {
      Fault fault = Fault.values()[random.nextInt(Fault.values().length)];
      world.at(Duration.ofMillis(random.nextInt(2500)), () -> fault.effect.accept(world));
    }
    return world.run(LIMIT);
  }

  private static Optional<String> run(RolloutSetup setup, List<Injection<Moment, Fault>> cell) {
    RolloutWorld[] world = new RolloutWorld[1];
    world[0] =
        new RolloutWorld(
            setup,
            new SplittableRandom(SEED),
            moment ->
                cell.stream()
                    .filter(i -> i.step() == moment)
                    .forEach(i -> i.fault().effect.accept(world[0])));
    return world[0].run(LIMIT);
  }
}
