package org.carobhoist.core.usage;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import org.carobhoist.core.testing.Schedules;
import org.carobhoist.core.usage.SimulatedUsageApi.Mode;
import org.carobhoist.core.usage.UsageSimulation.Node;
import org.carobhoist.core.usage.UsageSimulation.Rules;
import org.junit.jupiter.api.Test;

/**
 * Guards against windows that are reported twice with different counts, not at all, too late or
 * with wrong counts, and against calls of two holders that overlap or alternate, when processes,
 * the store, the API or clocks fail.
 */
final class UsageFaultsTest {

  /**
   * Requests within a few milliseconds of a window's edge, of about 300 in a window: an offset
   * contains the delay of the report from which it was determined.
   */
  private static final long AT_EDGE = 2;

  /**
   * Requests that are lost with the holder: of the 20 per second that it serves itself, those since
   * its last checkpoint, at most 1.6 s.
   */
  private static final long LOST_WITH_HOLDER = 32 + AT_EDGE;

  private final UsageSimulation sim = new UsageSimulation(1, Rules.ALL);

  private void assertReported(long tolerance) {
    assertThat(sim.api.violation).isEqualTo(Optional.empty());
    assertThat(sim.missingReport()).isEqualTo(Optional.empty());
    assertThat(sim.largestError()).isAtMost(tolerance);
  }

  private void runToReports(int count) {
    sim.runUntil(count + " reports", s -> s.api.bodies.size() >= count);
  }

  @Test
  void everyWindowIsReportedInTimeWithItsCounts() {
    sim.run(Duration.ofSeconds(120));
    assertReported(AT_EDGE);
    assertThat(sim.api.bodies.size()).isAtLeast(21);
    assertThat(sim.api.repeats).isEqualTo(0);
    assertThat(sim.longestDelay()).isLessThan(Duration.ofSeconds(5));
    assertThat(sim.ledgerKeys().size()).isAtMost(3);
  }

  @Test
  void windowsWithoutCountsAreReported() {
    sim.nodes.forEach(n -> n.setServing(false));
    sim.run(Duration.ofSeconds(40));
    assertReported(AT_EDGE);
    assertThat(sim.api.bodies.values().stream().allMatch(b -> b.endsWith(" {}"))).isTrue();
  }

  @Test
  void appendsStayBelowTheCostLimit() {
    sim.run(Duration.ofSeconds(20));
    int before = sim.log.records(UsageSimulation.USAGE).size();
    sim.run(Duration.ofSeconds(100));
    // One checkpoint per second, and per window one decision and one deletion, as records.
    assertThat(sim.log.records(UsageSimulation.USAGE).size() - before).isAtMost(100 + 2 * 20);
  }

  @Test
  void holderTerminatedBeforeDecision() {
    runToReports(2);
    long decided = sim.ledgerRecords("window/");
    sim.run(Duration.ofMillis(4_400));
    assertThat(sim.ledgerRecords("window/")).isEqualTo(decided);
    sim.holder().kill();
    sim.run(Duration.ofSeconds(40));
    assertReported(LOST_WITH_HOLDER);
    assertThat(sim.longestDelay()).isLessThan(Duration.ofSeconds(10));
  }

  @Test
  void holderTerminatedAfterDecision() {
    runToReports(2);
    long decided = sim.ledgerRecords("window/");
    sim.runUntil("a decision", s -> s.ledgerRecords("window/") > decided);
    int calls = sim.api.calls;
    sim.holder().kill();
    assertThat(sim.api.calls).isEqualTo(calls);
    sim.run(Duration.ofSeconds(40));
    assertReported(LOST_WITH_HOLDER);
    assertThat(sim.longestDelay()).isLessThan(Duration.ofSeconds(10));
  }

  @Test
  void holderTerminatedBeforeAnswer() {
    runToReports(2);
    sim.holder().kill();
    sim.run(Duration.ofSeconds(40));
    assertReported(LOST_WITH_HOLDER);
    assertThat(sim.api.repeats).isAtLeast(1);
  }

  @Test
  void holderTerminatedAfterAnswer() {
    runToReports(2);
    sim.run(Duration.ofMillis(60));
    sim.holder().kill();
    sim.run(Duration.ofSeconds(40));
    assertReported(LOST_WITH_HOLDER);
  }

  @Test
  void holderFrozenPastItsLease() {
    runToReports(2);
    Node frozen = sim.holder();
    frozen.freeze(Duration.ofSeconds(8));
    sim.run(Duration.ofSeconds(60));
    assertThat(frozen.holds()).isFalse();
    assertReported(LOST_WITH_HOLDER);
  }

  @Test
  void holderCutOffFromStoreOnly() {
    runToReports(2);
    Node cut = sim.holder();
    cut.link.setDisconnected(true);
    sim.run(Duration.ofSeconds(30));
    assertThat(cut.holds() && sim.nodes.stream().filter(Node::holds).count() == 1).isFalse();
    cut.link.setDisconnected(false);
    sim.run(Duration.ofSeconds(30));
    assertReported(LOST_WITH_HOLDER);
  }

  @Test
  void holderCutOffFromApiOnly() {
    runToReports(2);
    Node cut = sim.holder();
    cut.setApiReachable(false);
    sim.run(Duration.ofSeconds(20));
    assertThat(sim.api.bodies.size()).isEqualTo(2);
    cut.setApiReachable(true);
    sim.run(Duration.ofSeconds(20));
    assertReported(AT_EDGE);
  }

  @Test
  void allProcessesGone() {
    runToReports(2);
    final long crashed = UsageSimulation.POLICY.windowAt(sim.clock.now().toEpochMilli());
    for (Node node : List.copyOf(sim.nodes)) {
      node.kill();
    }
    sim.run(Duration.ofSeconds(12));
    for (Node node : List.copyOf(sim.nodes)) {
      sim.restart(node);
    }
    sim.run(Duration.ofSeconds(40));
    assertThat(sim.api.violation).isEqualTo(Optional.empty());
    assertThat(sim.missingReport()).isEqualTo(Optional.empty());
    long lost = sim.truth.get(crashed) - sim.count(crashed);
    // Three gateways with 20 requests per second each; 1.6 s between a count and its checkpoint.
    assertThat(lost).isAtMost(3 * 20 * 16 / 10);
    long previousError = Math.abs(sim.count(crashed - 1) - sim.truth.get(crashed - 1));
    assertThat(previousError).isAtMost(AT_EDGE);
  }

  @Test
  void clocksOfTwoMachinesFiveSecondsApart() {
    UsageSimulation skewed = new UsageSimulation(1, Rules.ALL);
    skewed.nodes.get(0).setSkew(Duration.ofSeconds(-5));
    skewed.run(Duration.ofSeconds(60));
    assertThat(skewed.api.violation).isEqualTo(Optional.empty());
    assertThat(skewed.missingReport()).isEqualTo(Optional.empty());
    // The windows in which gateways counted before they knew the fleet's time may be wrong.
    skewed.api.bodies.keySet().removeAll(List.copyOf(skewed.api.bodies.keySet()).subList(0, 2));
    assertThat(skewed.largestError()).isAtMost(AT_EDGE);
  }

  @Test
  void clockOfHolderJumps() {
    runToReports(2);
    sim.holder().setSkew(Duration.ofSeconds(5));
    sim.run(Duration.ofSeconds(30));
    sim.holder().setSkew(Duration.ofSeconds(-3));
    sim.run(Duration.ofSeconds(30));
    assertReported(AT_EDGE);
  }

  @Test
  void answerOfDecisionIsLost() {
    runToReports(2);
    sim.holder().link.setFailureProbability(0.5);
    sim.run(Duration.ofSeconds(30));
    sim.nodes.forEach(n -> n.link.setFailureProbability(0));
    sim.run(Duration.ofSeconds(30));
    assertReported(LOST_WITH_HOLDER);
  }

  @Test
  void apiExecutesLateWithoutAnswer() {
    runToReports(2);
    sim.api.mode = Mode.LATE;
    sim.run(Duration.ofSeconds(20));
    sim.holder().kill();
    sim.run(Duration.ofSeconds(6));
    sim.api.mode = Mode.WELL;
    sim.run(Duration.ofSeconds(30));
    assertReported(LOST_WITH_HOLDER);
  }

  @Test
  void apiLosesAnswers() {
    runToReports(2);
    sim.api.mode = Mode.ANSWER_LOST;
    sim.run(Duration.ofSeconds(20));
    sim.api.mode = Mode.WELL;
    sim.run(Duration.ofSeconds(20));
    assertReported(AT_EDGE);
    assertThat(sim.api.repeats).isAtLeast(3);
  }

  @Test
  void apiIsDownOrRefuses() {
    for (Mode mode : List.of(Mode.DOWN, Mode.REFUSING)) {
      sim.api.mode = mode;
      int before = sim.api.calls;
      sim.run(Duration.ofSeconds(30));
      assertThat(sim.api.calls - before).isAtMost(60);
      sim.api.mode = Mode.WELL;
      sim.run(Duration.ofSeconds(20));
      assertReported(AT_EDGE);
    }
  }

  @Test
  void randomFaultsKeepTheRules() {
    assertWithMessage("seed and violation")
        .that(Schedules.explore(100, 300, r -> runRandom(r, Rules.ALL)))
        .isEqualTo(Optional.empty());
  }

  /** Fails if a check of the permission to issue orders is removed. */
  @Test
  void withoutThePermissionRulesAreBroken() {
    assertThat(Schedules.explore(100, 300, r -> runRandom(r, new Rules(false, true))))
        .isNotEqualTo(Optional.empty());
  }

  /** Fails if the condition of the appends is removed. */
  @Test
  void withoutConditionalAppendsRulesAreBroken() {
    assertThat(Schedules.explore(100, 300, r -> runRandom(r, new Rules(true, false))))
        .isNotEqualTo(Optional.empty());
  }

  private static Optional<String> runRandom(SplittableRandom random, Rules rules) {
    UsageSimulation simulation = new UsageSimulation(random.nextLong(), rules);
    for (int i = 0; i < 8; i++) {
      simulation.run(Duration.ofMillis(random.nextInt(500, 9_000)));
      injectFault(simulation, random);
    }
    simulation.run(Duration.ofSeconds(10));
    simulation.api.mode = Mode.WELL;
    for (Node node : simulation.nodes) {
      node.link.setDisconnected(false);
      node.link.setFailureProbability(0);
      node.setApiReachable(true);
    }
    simulation.run(Duration.ofSeconds(45));
    return simulation.api.violation.or(simulation::missingReport);
  }

  private static void injectFault(UsageSimulation simulation, SplittableRandom random) {
    boolean useHolder = simulation.hasHolder() && random.nextInt(4) > 0;
    Node node =
        useHolder
            ? simulation.holder()
            : simulation.nodes.get(random.nextInt(simulation.nodes.size()));
    switch (random.nextInt(7)) {
      case 0 -> simulation.restart(node);
      case 1 -> node.freeze(Duration.ofMillis(random.nextInt(500, 9_000)));
      case 2 -> {
        node.link.setDisconnected(true);
        simulation.queue.after(
            Duration.ofMillis(random.nextInt(500, 6_000)), () -> node.link.setDisconnected(false));
      }
      case 3 -> node.link.setFailureProbability(0.4);
      case 4 -> node.setApiReachable(random.nextBoolean());
      case 5 -> simulation.api.mode = Mode.values()[random.nextInt(Mode.values().length)];
      default -> node.setSkew(Duration.ofMillis(random.nextInt(-5_000, 5_000)));
    }
  }
}
