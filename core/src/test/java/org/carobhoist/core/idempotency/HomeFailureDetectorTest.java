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
    HomeFailureDetector detector = HomeFailureDetector.create(clock);
    assertThat(detector.onUnreachable(HOME)).isFalse();
    clock.advance(HomeFailureDetector.REMOVAL_TIMEOUT.minusMillis(1));
    assertThat(detector.onUnreachable(HOME)).isFalse();
    detector.onReachable(HOME);
    clock.advance(Duration.ofMillis(1));
    assertThat(detector.onUnreachable(HOME)).isFalse();
    clock.advance(HomeFailureDetector.REMOVAL_TIMEOUT);
    assertThat(detector.onUnreachable(HOME)).isTrue();
  }
}
