package org.carobhoist.core.store;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;

/** A fleet whose processes all start again at the same moment. */
final class FleetStartTest {

  private static final int PROCESSES = 43;

  /** Time from a start after which most requests have to be served, by the users' sheets. */
  private static final Duration RECOVERY = Duration.ofSeconds(15);

  private static final Duration CALL_TIME = Duration.ofMillis(700);
  private static final Duration PAGE_TIME = Duration.ofSeconds(5);

  @Test
  void everyProcessAnswersForEveryJobInTime() {
    assertThat(FleetStart.answeringWithin(RECOVERY, PROCESSES, PAGE_TIME, true))
        .isEqualTo(PROCESSES);
  }

  @Test
  void withTheTimeOfSmallCallsTheStoreIsBusyForNothing() {
    assertThat(FleetStart.answeringWithin(RECOVERY, PROCESSES, CALL_TIME, false))
        .isLessThan(PROCESSES / 2);
  }
}
