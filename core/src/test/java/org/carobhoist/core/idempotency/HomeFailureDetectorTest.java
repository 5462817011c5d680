package org.carobhoist.core.idempotency;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import org.carobhoist.core.common.Incarnation;
import org.carobhoist.core.common.InstanceId;
import org.carobhoist.core.testing.ManualClock;
import org.junit.jupiter.api.Test;

final class HomeFailureDetectorTest {

  private static final HomeMember HOME =
      new HomeMember(new InstanceId("reservas-1"), new Incarnation("run-1"));

  @Test
  void reportsHomeThatStaysUnreachableForTheTimeout() {
    ManualClock clock = new ManualClock();
    HomeFailureDetector absence = HomeFailureDetector.create(clock);
    assertThat(absence.onUnreachable(HOME)).isFalse();
    clock.advance(HomeFailureDetector.REMOVAL_TIMEOUT.minusMillis(1));
    assertThat(absence.onUnreachable(HOME)).isFalse();
    absence.onReachable(HOME);
    clock.advance(Duration.ofMillis(1));
    assertThat(absence.onUnreachable(HOME)).isFalse();
    clock.advance(HomeFailureDetector.REMOVAL_TIMEOUT);
    assertThat(absence.onUnreachable(HOME)).isTrue();
  }
}
