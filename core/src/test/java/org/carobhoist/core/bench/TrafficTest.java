package org.carobhoist.core.bench;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

/** Checks goodput and latency targets under overload and faults, in virtual time. */
final class TrafficTest {

  private static final double GOODPUT_TARGET = 0.9;
  private static final double IMBALANCE_TARGET = 1.25;

  @Test
  void keepsGoodputUnderFourfoldOverload() {
    TrafficResult normal = Scenarios.overload(1, SimulatedEntry.Mode.FULL);
    TrafficResult overload = Scenarios.overload(4, SimulatedEntry.Mode.FULL);
    TrafficResult baseline = Scenarios.overload(4, SimulatedEntry.Mode.ROUND_ROBIN);

    assertThat((double) overload.completed()).isAtLeast(GOODPUT_TARGET * normal.completed());
    assertThat(overload.p99()).isLessThan(Scenarios.DEADLINE);
    assertThat(overload.completed()).isGreaterThan(baseline.completed());
  }

  @Test
  void prefixAffinityRaisesHitRateWithinImbalanceTarget() {
    TrafficResult affine = Scenarios.prompts(SimulatedEntry.Mode.FULL);
    TrafficResult without = Scenarios.prompts(SimulatedEntry.Mode.WITHOUT_AFFINITY);

    assertThat(affine.hitRate()).isGreaterThan(without.hitRate());
    assertThat(affine.p99()).isLessThan(without.p99());
    assertThat(affine.imbalance()).isAtMost(IMBALANCE_TARGET);
  }

  @Test
  void losesFewerRequestsToFaultsThanRoundRobin() {
    checkFault(Scenarios::slowEndpoint);
    checkFault(Scenarios::deadEndpoint);
    checkFault(Scenarios::lostZone);
  }

  private static void checkFault(Scenarios.Fault fault) {
    TrafficResult managed = Scenarios.faulty(fault, SimulatedEntry.Mode.FULL);
    TrafficResult baseline = Scenarios.faulty(fault, SimulatedEntry.Mode.ROUND_ROBIN);
    assertThat(managed.offered() - managed.completed())
        .isLessThan(baseline.offered() - baseline.completed());
  }
}
