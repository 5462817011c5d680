package org.carobhoist.server.runtime;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;

final class SystemClockTest {

  private static final int READINGS = 20_000;

  @Test
  void elapsedTimeNeverGoesBack() {
    SystemClock clock = SystemClock.create();
    Duration start = clock.elapsed();
    Duration last = start;
    for (int i = 0; i < READINGS; i++) {
      Duration now = clock.elapsed();
      assertThat(now).isAtLeast(last);
      last = now;
    }
    assertThat(last).isGreaterThan(start);
    System.out.println(
        "one reading took " + last.minus(start).dividedBy(READINGS).toNanos() + " ns");
  }
}
