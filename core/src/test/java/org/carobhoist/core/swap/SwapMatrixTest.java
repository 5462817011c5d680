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
  private static final Duration DELAY = Duration.ofSeconds(7);
  private static final Duration CALM = Duration.ofSeconds(60);
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
    FAIL_PARTWAY,
    NEWER_ORDER,
    OLD_ORDER_AGAIN
  }

  @Test
  void holdsUnderEveryFault() throws IOException {
    for (boolean fence : List.of(true, false)) {
      FaultMatrix<SwapWorld.Step, Fault> matrix =
          FaultMatrix.of("swap-fence-" + fence, SwapWorld.Step.class, Fault.class);
      List<String> broken = matrix.run(cell -> run(cell, fence, SwapWorld.Rules.TRUE_RULES));
      assertThat(broken).isEmpty();
      assertThat(matrix.tried()).isGreaterThan(400);
    }
  }

  @Test
  void holdsUnderRandomSchedules() {
    Optional<String> failure =
        Schedules.explore(
            FIRST_SEED, SCHEDULES, random -> run(draw(random), random.nextBoolean(), trueRules()));
    assertThat(failure).isEqualTo(Optional.empty());
  }

  @Test
  void catchesTrustInTheOrderSent() throws IOException {
    assertThat(brokenCells(new SwapWorld.Rules(v -> false, true, true))).isNotEmpty();
  }

  @Test
  void catchesMissingProbe() throws IOException {
    assertThat(brokenCells(new SwapWorld.Rules(v -> true, true, false))).isNotEmpty();
  }

  @Test
  void catchesObedienceToOldOrders() throws IOException {
    assertThat(brokenCells(new SwapWorld.Rules(v -> true, false, true))).isNotEmpty();
  }

  @Test
  void pausedSidecarReadsTheLogBeforeItLoads() {
    SwapWorld world = new SwapWorld(false, trueRules());
    world.queue.run(Duration.ofSeconds(1));
    world.order(2, 10);
    world.setFault(
        (step, call) -> {
          if (step == SwapWorld.Step.PREFETCH) {
            world.pause(PAUSE);
          }
          return call;
        });
    world.queue.run(Duration.ofSeconds(2));
    world.setLogDown(true);
    world.setFault((step, call) -> call);
    world.queue.run(Duration.ofSeconds(30));
    assertThat(world.engine.serves().orElseThrow().number()).isEqualTo(1);
    world.setLogDown(false);
    world.queue.run(Duration.ofSeconds(60));
    assertThat(world.verdict()).isEqualTo(Optional.empty());
  }

  private static SwapWorld.Rules trueRules() {
    return SwapWorld.Rules.TRUE_RULES;
  }

  private static List<String> brokenCells(SwapWorld.Rules rules) throws IOException {
    return FaultMatrix.of("swap-mutation", SwapWorld.Step.class, Fault.class)
        .run(cell -> run(cell, true, rules));
  }

  private static List<Injection<SwapWorld.Step, Fault>> draw(SplittableRandom random) {
    List<Injection<SwapWorld.Step, Fault>> out = new ArrayList<>();
    int count = 1 + random.nextInt(5);
    for (int i = 0; i < count; i++) {
      SwapWorld.Step step = SwapWorld.Step.values()[random.nextInt(SwapWorld.Step.values().length)];
      out.add(new Injection<>(step, Fault.values()[random.nextInt(Fault.values().length)]));
    }
    return out;
  }

  private static Optional<String> run(
      List<Injection<SwapWorld.Step, Fault>> cell, boolean fence, SwapWorld.Rules rules) {
    SwapWorld world = new SwapWorld(fence, rules);
    List<Injection<SwapWorld.Step, Fault>> open = new ArrayList<>(cell);
    world.queue.run(Duration.ofSeconds(1));
    world.setFault((step, call) -> strike(world, open, step, call));
    world.order(2, 10);
    world.queue.run(CALM);
    world.order(3, 20);
    world.queue.run(CALM.multipliedBy(2));
    world.setFault((step, call) -> call);
    world.queue.run(CALM.multipliedBy(3));
    return world.verdict();
  }

  private static Runnable strike(
      SwapWorld world,
      List<Injection<SwapWorld.Step, Fault>> open,
      SwapWorld.Step step,
      Runnable call) {
    Optional<Injection<SwapWorld.Step, Fault>> hit =
        open.stream().filter(i -> i.step() == step).findFirst();
    if (hit.isEmpty()) {
      return call;
    }
    open.remove(hit.get());
    return faulty(world, hit.get().fault(), call);
  }

  private static Runnable faulty(SwapWorld world, Fault fault, Runnable call) {
    return switch (fault) {
      case DROP_REQUEST -> () -> {};
      case LOSE_ANSWER -> () -> loseAnswer(world, call);
      case DELAY_ANSWER -> () -> world.queue.after(DELAY, call);
      case REPEAT_ANSWER -> () -> both(call, call);
      case CRASH_ENGINE -> () -> both(call, world.engine::crash);
      case CRASH_SIDECAR -> () -> both(call, world::startSidecar);
      case PAUSE_SIDECAR -> () -> both(call, () -> world.pause(PAUSE));
      case FAIL_PARTWAY -> () -> both(world.engine::failNextLoad, call);
      case NEWER_ORDER -> () -> both(call, () -> world.order(4, 30));
      case OLD_ORDER_AGAIN -> () -> both(call, () -> world.order(2, 10));
    };
  }

  /** The engine executes the call, but the sidecar is replaced before the answer arrives. */
  private static void loseAnswer(SwapWorld world, Runnable call) {
    world.pause(SwapPolicy.DEFAULT.callTimeout());
    call.run();
    world.startSidecar();
  }

  private static void both(Runnable first, Runnable second) {
    first.run();
    second.run();
  }
}
