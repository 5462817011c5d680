package org.carobhoist.core.lease;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;

final class TickLatenessMonitorTest {

  private static final Duration PERIOD = Duration.ofMillis(50);

  private final TickLatenessMonitor pace = TickLatenessMonitor.create(PERIOD);
  private Duration now = Duration.ZERO;

  private boolean ticks(int count, long lateMillis) {
    boolean slow = false;
    for (int i = 0; i < count; i++) {
      now = now.plus(PERIOD).plusMillis(lateMillis);
      slow = pace.recordTick(now);
    }
    return slow;
  }

  @Test
  void punctualTicksAreNotSlow() {
    assertThat(ticks(1_000, 20)).isFalse();
  }

  @Test
  void oneLongPauseIsNotSlow() {
    ticks(100, 5);
    assertThat(ticks(1, 5_000)).isFalse();
    assertThat(ticks(1, 900)).isFalse();
    assertThat(ticks(1, 5)).isFalse();
  }

  @Test
  void repeatedlyLateTicksAreSlow() {
    assertThat(ticks(30, 250)).isTrue();
    pace.reset();
    assertThat(ticks(100, 5)).isFalse();
  }
}
