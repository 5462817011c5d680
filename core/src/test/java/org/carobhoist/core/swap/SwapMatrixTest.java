package org.carobhoist.core.swap;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import org.carobhoist.core.testing.FaultMatrix;
import org.carobhoist.core.testing.FaultMatrix.Injection;
import org.carobhoist.core.testing.Schedules;
import org.junit.jupiter.api.Test;

/** Injects every fault at every step of a weight swap and at random, and checks mutated rules. */
final class SwapMatrixTest {

  private static final Duration PAUSE = Duration.ofSeconds(8);
  private static final Duration ANSWER_DELAY = Duration.ofSeconds(7);
  private static final Duration SETTLE_TIME = Duration.ofSeconds(60);
  private static final int SCHEDULES = 3_000;
  private static final long FIRST_SEED = 20_261_204;

  private enum Fault {
    DROP_REQUEST,
    LOSE_ANSWER,
    DELAY_ANSWER,
    REPEAT_ANSWER,
    CRASH_ENGINE,
    CRASH_SIDECAR,
    PAUSE_SIDECAR,
    FAIL_DURING_LOAD,
    NEWER_ORDER,
    REPEAT_OLD_ORDER
  }

  @Test
  void toleratesEveryFaultAtEveryStep() throws IOException {
    for (boolean fence : List.of(true, false)) {
      FaultMatrix<SwapSimulation.Step, Fault> matrix =
          FaultMatrix.of("swap-fence-" + fence, SwapSimulation.Step.class, Fault.class);
      List<String> failures = matrix.run(cell -> run(cell, fence, SwapSimulation.Rules.REAL_RULES));
      assertThat(failures).isEmpty();
      assertThat(matrix.cellCount()).isGreaterThan(400);
    }
  }

  @Test
  void toleratesRandomFaults() {
    Optional<String> failure =
        Schedules.explore(
            FIRST_SEED, SCHEDULES, random -> run(draw(random), random.nextBoolean(), realRules()));
    assertThat(failure).isEqualTo(Optional.empty());
  }

  @Test
  void catchesMissingReadBack() throws IOException {
    assertThat(failedCells(new SwapSimulation.Rules(v -> false, true, true))).isNotEmpty();
  }

  @Test
  void catchesMissingProbe() throws IOException {
    assertThat(failedCells(new SwapSimulation.Rules(v -> true, true, false))).isNotEmpty();
  }

  @Test
  void catchesAcceptanceOfOldOrders() throws IOException {
    assertThat(failedCells(new SwapSimulation.Rules(v -> true, false, true))).isNotEmpty();
  }

  @Test
  void pausedSidecarReadsLogBeforeItLoads() {
    SwapSimulation simulation = new SwapSimulation(false, realRules());
    simulation.queue.run(Duration.ofSeconds(1));
    simulation.order(2, 10);
    simulation.setFault(
        (step, call) -> {
          if (step == SwapSimulation.Step.PREFETCH) {
            simulation.pause(PAUSE);
          }
          return call;
        });
    simulation.queue.run(Duration.ofSeconds(2));
    simulation.setLogDown(true);
    simulation.setFault((step, call) -> call);
    simulation.queue.run(Duration.ofSeconds(30));
    assertThat(simulation.engine.serves().orElseThrow().number()).isEqualTo(1);
    simulation.setLogDown(false);
    simulation.queue.run(Duration.ofSeconds(60));
    assertThat(simulation.firstViolation()).isEqualTo(Optional.empty());
  }

  private static SwapSimulation.Rules realRules() {
    return SwapSimulation.Rules.REAL_RULES;
  }

  private static List<String> failedCells(SwapSimulation.Rules rules) throws IOException {
    return FaultMatrix.of("swap-mutation", SwapSimulation.Step.class, Fault.class)
        .run(cell -> run(cell, true, rules));
  }

  private static List<Injection<SwapSimulation.Step, Fault>> draw(SplittableRandom random) {
    List<Injection<SwapSimulation.Step, Fault>> out = new ArrayList<>();
    int count = 1 + random.nextInt(5);
    for (int i = 0; i < count; i++) {
      SwapSimulation.Step step =
          SwapSimulation.Step.values()[random.nextInt(SwapSimulation.Step.values().length)];
      out.add(new Injection<>(step, Fault.values()[random.nextInt(Fault.values().length)]));
    }
    return out;
  }

  private static Optional<String> run(
      List<Injection<SwapSimulation.Step, Fault>> cell, boolean fence, SwapSimulation.Rules rules) {
    SwapSimulation simulation = new SwapSimulation(fence, rules);
    List<Injection<SwapSimulation.Step, Fault>> pendingFaults = new ArrayList<>(cell);
    simulation.queue.run(Duration.ofSeconds(1));
    simulation.setFault((step, call) -> injectFault(simulation, pendingFaults, step, call));
    simulation.order(2, 10);
    simulation.queue.run(SETTLE_TIME);
    simulation.order(3, 20);
    simulation.queue.run(SETTLE_TIME.multipliedBy(2));
    simulation.setFault((step, call) -> call);
    simulation.queue.run(SETTLE_TIME.multipliedBy(3));
    return simulation.firstViolation();
  }

  private static Runnable injectFault(
      SwapSimulation simulation,
      List<Injection<SwapSimulation.Step, Fault>> pendingFaults,
      SwapSimulation.Step step,
      Runnable call) {
    Optional<Injection<SwapSimulation.Step, Fault>> fault =
        pendingFaults.stream().filter(i -> i.step() == step).findFirst();
    if (fault.isEmpty()) {
      return call;
    }
    pendingFaults.remove(fault.get());
    return applyFault(simulation, fault.get().fault(), call);
  }

  private static Runnable applyFault(SwapSimulation simulation, Fault fault, Runnable call) {
    return switch (fault) {
      case DROP_REQUEST -> () -> {};
      case LOSE_ANSWER -> () -> loseAnswer(simulation, call);
      case DELAY_ANSWER -> () -> simulation.queue.after(ANSWER_DELAY, call);
      case REPEAT_ANSWER -> () -> runBoth(call, call);
      case CRASH_ENGINE -> () -> runBoth(call, simulation.engine::crash);
      case CRASH_SIDECAR -> () -> runBoth(call, simulation::startSidecar);
      case PAUSE_SIDECAR -> () -> runBoth(call, () -> simulation.pause(PAUSE));
      case FAIL_DURING_LOAD -> () -> runBoth(simulation.engine::failNextLoad, call);
      case NEWER_ORDER -> () -> runBoth(call, () -> simulation.order(4, 30));
      case REPEAT_OLD_ORDER -> () -> runBoth(call, () -> simulation.order(2, 10));
    };
  }

  /** The engine executes the call, but the sidecar is replaced before the answer arrives. */
  private static void loseAnswer(SwapSimulation simulation, Runnable call) {
    simulation.pause(SwapPolicy.DEFAULT.callTimeout());
    call.run();
    simulation.startSidecar();
  }

  private static void runBoth(Runnable first, Runnable second) {
    first.run();
    second.run();
  }
}
