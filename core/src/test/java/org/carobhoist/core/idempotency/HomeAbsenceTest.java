package org.carobhoist.core.idempotency;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import org.carobhoist.core.common.Incarnation;
import org.carobhoist.core.common.InstanceId;
import org.carobhoist.core.testing.ManualClock;
import org.junit.jupiter.api.Test;

final class HomeAbsenceTest {

  private static final HomeMember HOME =
      new HomeMember(new InstanceId("reservas-1"), new Incarnation("run-1"));

  @Test
  void reportsHomeThatStaysUnreachableForTheTimeout() {
    ManualClock clock = new ManualClock();
    HomeAbsence absence = HomeAbsence.create(clock);
    assertThat(absence.onMissed(HOME)).isFalse();
    clock.advance(HomeAbsence.REMOVAL_TIMEOUT.minusMillis(1));
    assertThat(absence.onMissed(HOME)).isFalse();
    absence.onReached(HOME);
    clock.advance(Duration.ofMillis(1));
    assertThat(absence.onMissed(HOME)).isFalse();
    clock.advance(HomeAbsence.REMOVAL_TIMEOUT);
    assertThat(absence.onMissed(HOME)).isTrue();
  }
}
