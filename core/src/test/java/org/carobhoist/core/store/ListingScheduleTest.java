package org.carobhoist.core.store;

import static com.google.common.truth.Truth.assertThat;

import org.carobhoist.core.testing.Schedules;
import org.junit.jupiter.api.Test;

/**
 * Items appended to a shared list must keep their positions under random lost calls, delays,
 * partitions, restarts and expired records. Without either safeguard of the appender they don't.
 */
final class ListingScheduleTest {

  private static final long FIRST_SEED = 1;
  private static final int SCHEDULES = 6_000;
  private static final int MUTANT_SCHEDULES = 2_000;

  @Test
  void positionsNeverChange() {
    assertThat(
            Schedules.explore(
                FIRST_SEED, SCHEDULES, r -> ListingSimulation.run(r, ListingSimulation.Rules.ALL)))
        .isEmpty();
  }

  @Test
  void unconditionalAppendsAreDuplicated() {
    ListingSimulation.Rules rules = new ListingSimulation.Rules(false, true);
    assertThat(
            Schedules.explore(FIRST_SEED, MUTANT_SCHEDULES, r -> ListingSimulation.run(r, rules)))
        .isPresent();
  }

  @Test
  void itemsAreListedTwiceWithoutWantedCheck() {
    ListingSimulation.Rules rules = new ListingSimulation.Rules(true, false);
    assertThat(
            Schedules.explore(FIRST_SEED, MUTANT_SCHEDULES, r -> ListingSimulation.run(r, rules)))
        .isPresent();
  }
}
