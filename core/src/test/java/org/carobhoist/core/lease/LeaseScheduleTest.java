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

  /**
   * Guards against orders of A, B and A within the order gap, and against an order that is
   * overtaken by one of the next holder.
   */
  @Test
  void onlyOneProcessIssuesOrders() {
    assertThat(Schedules.explore(FIRST_SEED, SCHEDULES, r -> LeaseSimulation.run(r, Rules.ALL)))
        .isEmpty();
  }

  @Test
  void detectsTwoHoldersWithoutConditionalAppends() {
    assertViolationDetected(new Rules(false, true, true, false, true));
  }

  @Test
  void detectsTwoIssuersIfValidityNeverExpires() {
    assertViolationDetected(new Rules(true, false, true, false, true));
  }

  @Test
  void detectsTwoIssuersIfPausesAreNotCounted() {
    assertViolationDetected(new Rules(true, true, false, false, true));
  }

  @Test
  void detectsOrdersByTurnsWithoutOrderGap() {
    assertViolationDetected(new Rules(true, true, true, false, true));
  }

  @Test
  void detectsOvertakenOrderIfReleaseDoesNotAwaitAnswers() {
    assertViolationDetected(new Rules(true, true, true, true, false));
  }

  private static void assertViolationDetected(Rules rules) {
    assertThat(Schedules.explore(FIRST_SEED, MUTANT_SCHEDULES, r -> LeaseSimulation.run(r, rules)))
        .isPresent();
  }
}
