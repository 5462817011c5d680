package org.carobhoist.core.profile;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.time.Duration;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import org.carobhoist.core.testing.FaultMatrix;
import org.carobhoist.core.testing.FaultMatrix.Injection;
import org.carobhoist.core.testing.Schedules;
import org.junit.jupiter.api.Test;

/**
 * Injects every fault, alone and in pairs, at every step of a configuration's lifecycle, and runs
 * random schedules. Guards against replicas that diverge or move backwards, and against wrong
 * outcomes reported to operators.
 */
final class ConfigSyncFaultMatrixTest {

  private static final long MATRIX_SEED = 5;
  private static final long FIRST_SEED = 1;
  private static final int SCHEDULES = 150;
  private static final Duration FAULT_DURATION = Duration.ofSeconds(16);
  private static final Duration STEP_DURATION = Duration.ofSeconds(22);

  private enum Step {
    START,
    PUBLISH,
    CHANGE,
    RACE,
    RETIRE,
    REPUBLISH,
    SNAPSHOT,
    BOOT
  }

  private enum Fault {
    LOST_ANSWER,
    LOG_DOWN,
    SLOW_LOG,
    CRASH,
    RETENTION,
    CUT_FROM_LOG,
    PARTITION,
    DELAYED_MESSAGES,
    SHORTER_PEER,
    MISDIRECTED_UPDATE,
    TORN_RECORD,
    PAUSE
  }

  private enum Mutation {
    NO_BASE_CHECK,
    APPLIES_OLD_RECORDS,
    ACCEPTS_ANY_SNAPSHOT,
    SKIPS_GAPS,
    TRUSTS_ONE_PEER,
    ACKNOWLEDGES_EARLY
  }

  @Test
  void replicasStayConsistentUnderEveryFaultAndPair() throws Exception {
    FaultMatrix<Step, Fault> matrix = FaultMatrix.of("spread", Step.class, Fault.class);
    List<String> violations = matrix.run(cell -> runSteps(ReplicaRules.STRICT, false, cell));
    assertThat(violations).isEmpty();
    assertThat(matrix.cellCount()).isGreaterThan(3_000);
  }

  @Test
  void replicasStayConsistentUnderRandomSchedules() {
    Optional<String> failure =
        Schedules.explore(FIRST_SEED, SCHEDULES, r -> runSchedule(ReplicaRules.STRICT, false, r));
    assertThat(failure).isEqualTo(Optional.empty());
  }

  @Test
  void detectsEveryFaultyRule() {
    for (Mutation m : Mutation.values()) {
      boolean acknowledgeEarly = m == Mutation.ACKNOWLEDGES_EARLY;
      Optional<String> failure =
          Schedules.explore(FIRST_SEED, SCHEDULES, r -> runSchedule(rules(m), acknowledgeEarly, r));
      assertWithMessage(m.name()).that(failure.isPresent()).isTrue();
    }
  }

  private static Optional<String> runSteps(
      ReplicaRules rules, boolean acknowledgeEarly, List<Injection<Step, Fault>> cell) {
    SplittableRandom random = new SplittableRandom(MATRIX_SEED);
    ConfigSyncSimulation sim = new ConfigSyncSimulation(rules, acknowledgeEarly, random);
    for (Step step : Step.values()) {
      cell.stream().filter(i -> i.step() == step).forEach(i -> inject(sim, i.fault(), 2));
      execute(sim, step);
      sim.run(FAULT_DURATION);
      sim.heal();
      sim.run(STEP_DURATION.minus(FAULT_DURATION));
    }
    return sim.healAndFindViolation();
  }

  private static Optional<String> runSchedule(
      ReplicaRules rules, boolean acknowledgeEarly, SplittableRandom random) {
    ConfigSyncSimulation sim = new ConfigSyncSimulation(rules, acknowledgeEarly, random.split());
    sim.nodes().forEach(SimNode::start);
    for (int i = 0; i < 40; i++) {
      if (random.nextInt(3) == 0) {
        Fault[] faults = Fault.values();
        inject(sim, faults[random.nextInt(faults.length)], random.nextInt(6));
      }
      if (random.nextInt(3) == 0) {
        sim.heal();
      }
      Duration thinkTime = Duration.ofMillis(random.nextInt(6_000));
      sim.startOperator("p" + random.nextInt(3), thinkTime, random.nextInt(4) == 0);
      if (random.nextInt(4) == 0) {
        sim.appendWeightOrder(i);
      }
      sim.run(Duration.ofMillis(random.nextInt(12_000)));
    }
    return sim.healAndFindViolation();
  }

  private static void execute(ConfigSyncSimulation sim, Step step) {
    switch (step) {
      case START -> sim.nodes().stream().filter(n -> !n.alive).forEach(SimNode::start);
      case PUBLISH -> {
        sim.startOperator("a", Duration.ZERO, false);
        sim.startOperator("b", Duration.ZERO, false);
      }
      case CHANGE, REPUBLISH -> sim.startOperator("a", Duration.ZERO, false);
      case RACE -> {
        sim.startOperator("a", Duration.ofMillis(100), false);
        sim.startOperator("a", Duration.ofMillis(100), false);
        sim.appendWeightOrder(1);
      }
      case RETIRE -> sim.startOperator("a", Duration.ZERO, true);
      case SNAPSHOT -> sim.appendWeightOrder(2);
      case BOOT -> {
        sim.nodes().get(3).crash();
        sim.nodes().get(3).start();
      }
    }
  }

  private static void inject(ConfigSyncSimulation sim, Fault fault, int victim) {
    SimNode node = sim.nodes().get(victim);
    switch (fault) {
      case LOST_ANSWER -> sim.log().answersToLose = 2;
      case LOG_DOWN -> sim.log().down = true;
      case SLOW_LOG -> sim.log().slow = true;
      case CRASH -> node.crash();
      case RETENTION -> sim.log().truncateToNewestSnapshot();
      case CUT_FROM_LOG -> sim.nodes().subList(0, victim + 1).forEach(n -> n.cutFromLog = true);
      case PARTITION -> node.cutFromPeers = true;
      case DELAYED_MESSAGES -> sim.nodes().forEach(n -> n.messageDelay = Duration.ofSeconds(7));
      case SHORTER_PEER -> sim.sendShorterHistory(sim.log().stateAt((sim.log().next() - 1) / 2));
      case MISDIRECTED_UPDATE -> sim.sendNewestRecord(sim.nodes().get(5));
      case TORN_RECORD -> sim.log().appendsToTear = 1;
      case PAUSE -> node.paused = node.alive;
    }
  }

  private static ReplicaRules rules(Mutation mutation) {
    Map<Mutation, ReplicaRules> all = new EnumMap<>(Mutation.class);
    all.put(
        Mutation.NO_BASE_CHECK,
        new ReplicaRules() {
          @Override
          public boolean buildsOn(ProfileChange change, Revision current) {
            return true;
          }
        });
    all.put(
        Mutation.APPLIES_OLD_RECORDS,
        new ReplicaRules() {
          @Override
          public boolean isNew(long offset, long applied) {
            return true;
          }
        });
    all.put(
        Mutation.ACCEPTS_ANY_SNAPSHOT,
        new ReplicaRules() {
          @Override
          public boolean replaces(ProfileSnapshot snapshot, ProfileSnapshot present) {
            return true;
          }
        });
    all.put(
        Mutation.SKIPS_GAPS,
        new ReplicaRules() {
          @Override
          public boolean isContiguous(PeerUpdate update, long applied) {
            return true;
          }
        });
    all.put(
        Mutation.TRUSTS_ONE_PEER,
        new ReplicaRules() {
          @Override
          public boolean isConfirmed(int confirmations) {
            return confirmations >= 1;
          }
        });
    return all.getOrDefault(mutation, ReplicaRules.STRICT);
  }
}
