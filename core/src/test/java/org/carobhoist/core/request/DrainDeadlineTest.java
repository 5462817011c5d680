package org.carobhoist.core.request;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.carobhoist.core.testing.ManualClock;
import org.junit.jupiter.api.Test;

/** Guards against requests that are forwarded although the process may end before the response. */
final class DrainDeadlineTest {

  private final ManualClock clock = new ManualClock();
  private final DrainDeadline drain = DrainDeadline.create(clock);

  @Test
  void admitsEveryRequestUntilTheDeadlineIsSet() {
    assertThat(drain.admits(Duration.ofHours(1))).isTrue();
  }

  @Test
  void admitsOnlyRequestsThatEndBeforeTheDeadline() {
    drain.startIn(Duration.ofSeconds(5));
    assertThat(drain.admits(Duration.ofSeconds(5))).isTrue();
    assertThat(drain.admits(Duration.ofMillis(5_001))).isFalse();
    clock.advance(Duration.ofSeconds(3));
    assertThat(drain.admits(Duration.ofSeconds(2))).isTrue();
    assertThat(drain.admits(Duration.ofMillis(2_001))).isFalse();
  }

  @Test
  void answersOpenRequestsOnceAndNoOthers() {
    List<String> answered = new ArrayList<>();
    drain.add(() -> answered.add("open"));
    drain.add(() -> answered.add("ended")).run();
    assertThat(drain.answerOpenRequests()).isEqualTo(1);
    assertThat(drain.answerOpenRequests()).isEqualTo(0);
    assertThat(answered).containsExactly("open");
  }
}
