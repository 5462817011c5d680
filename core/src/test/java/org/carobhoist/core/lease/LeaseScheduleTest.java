package org.carobhoist.core.lease;

import static com.google.common.truth.Truth.assertThat;

import org.carobhoist.core.lease.LeaseSimulation.Rules;
import org.carobhoist.core.testing.Schedules;
import org.junit.jupiter.api.Test;

/** Changes of the lease's holder under random kills, freezes, partitions, stops and lost calls. */
final class LeaseScheduleTest {

  private static final long FIRST_SEED = 1;
  private static final int SCHEDULES = 6_000;
  private static final int MUTANT_SCHEDULES = 3_000;

  @Test
  void onlyOneProcessIssuesOrders() {
    assertThat(Schedules.explore(FIRST_SEED, SCHEDULES, r -> LeaseSimulation.run(r, Rules.ALL)))
        .isEmpty();
  }

  @Test
  void detectsTwoHoldersWithoutConditionalAppends() {
    assertViolationDetected(new Rules(false, true, true, false));
  }

  @Test
  void detectsTwoIssuersIfValidityNeverExpires() {
    assertViolationDetected(new Rules(true, false, true, false));
  }

  @Test
  void detectsTwoIssuersIfPausesAreNotCounted() {
    assertViolationDetected(new Rules(true, true, false, false));
  }

  private static void assertViolationDetected(Rules rules) {
    assertThat(Schedules.explore(FIRST_SEED, MUTANT_SCHEDULES, r -> LeaseSimulation.run(r, rules)))
        .isPresent();
  }
}
