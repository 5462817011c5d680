package org.carobhoist.core.store;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;

/**
 * A simultaneous restart of all processes must not overload the store: with a page timeout that is
 * too short and concurrent scans, the store sends pages whose readers have already timed out.
 */
final class FleetStartTest {

  private static final int PROCESSES = 43;

  /** Time after a restart by which the requirements expect most requests to be served. */
  private static final Duration RECOVERY_TARGET = Duration.ofSeconds(15);

  private static final Duration SMALL_CALL_TIMEOUT = Duration.ofMillis(700);
  private static final Duration PAGE_TIMEOUT = Duration.ofSeconds(5);

  @Test
  void everyProcessIsReadyInTime() {
    assertThat(FleetStart.readyProcessesWithin(RECOVERY_TARGET, PROCESSES, PAGE_TIMEOUT, true))
        .isEqualTo(PROCESSES);
  }

  @Test
  void shortPageTimeoutPreventsRecovery() {
    assertThat(
            FleetStart.readyProcessesWithin(RECOVERY_TARGET, PROCESSES, SMALL_CALL_TIMEOUT, false))
        .isLessThan(PROCESSES / 2);
  }
}
