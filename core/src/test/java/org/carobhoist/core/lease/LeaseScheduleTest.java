package org.carobhoist.core.lease;

import static com.google.common.truth.Truth.assertThat;

import org.carobhoist.core.lease.LeaseWorld.Rules;
import org.carobhoist.core.testing.Schedules;
import org.junit.jupiter.api.Test;

/** Changes of the lease's holder under random kills, freezes, partitions, stops and lost calls. */
final class LeaseScheduleTest {

  private static final long FIRST_SEED = 1;
  private static final int SCHEDULES = 6_000;
  private static final int MUTANT_SCHEDULES = 3_000;

  @Test
  void onlyOneProcessGivesOrders() {
    assertThat(Schedules.explore(FIRST_SEED, SCHEDULES, r -> LeaseWorld.run(r, Rules.ALL)))
        .isEmpty();
  }

  @Test
  void withoutTheConditionTwoHoldTheLease() {
    assertBroken(new Rules(false, true, true, false));
  }

  @Test
  void withoutAnEndOfTrustTwoGiveOrders() {
    assertBroken(new Rules(true, false, true, false));
  }

  @Test
  void withoutTheTimeOfPausesTwoGiveOrders() {
    assertBroken(new Rules(true, true, false, false));
  }

  private static void assertBroken(Rules rules) {
    assertThat(Schedules.explore(FIRST_SEED, MUTANT_SCHEDULES, r -> LeaseWorld.run(r, rules)))
        .isPresent();
  }
}
