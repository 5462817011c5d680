package org.carobhoist.core.request;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import org.carobhoist.core.testing.ManualClock;
import org.junit.jupiter.api.Test;

/** Guards against a repeated request that isn't recognised, and against ids kept without bound. */
final class RecentRequestsTest {

  private final ManualClock clock = new ManualClock();
  private final RecentRequests requests = RecentRequests.create(clock, Duration.ofSeconds(60), 3);

  @Test
  void recognisesRepeatedRequestToTheSameServerOnly() {
    assertThat(requests.add("a:1", "r1")).isFalse();
    assertThat(requests.add("a:2", "r1")).isFalse();
    assertThat(requests.add("a:1", "r2")).isFalse();
    assertThat(requests.add("a:1", "r1")).isTrue();
  }

  @Test
  void forgetsRequestsAfterTheirLifetime() {
    requests.add("a:1", "r1");
    clock.advance(Duration.ofSeconds(40));
    assertThat(requests.add("a:1", "r1")).isTrue();
    clock.advance(Duration.ofSeconds(40));
    assertThat(requests.add("a:1", "r1")).isTrue();
    clock.advance(Duration.ofSeconds(61));
    assertThat(requests.add("a:1", "r1")).isFalse();
  }

  @Test
  void forgetsTheOldestRequestsFirst() {
    for (int i = 0; i < 4; i++) {
      requests.add("a:1", "r" + i);
    }
    assertThat(requests.add("a:1", "r2")).isTrue();
    assertThat(requests.add("a:1", "r0")).isFalse();
  }
}
