package org.carobhoist.core.request;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import org.carobhoist.core.testing.ManualClock;
import org.junit.jupiter.api.Test;

/** Guards against requests that fail on reused connections to a server that is out of step. */
final class ConnectionReusePolicyTest {

  private static final Duration PAUSE = Duration.ofSeconds(30);

  private final ManualClock clock = new ManualClock();
  private final ConnectionReusePolicy policy = ConnectionReusePolicy.create(clock, PAUSE);

  @Test
  void connectionsToOtherServersAreReused() {
    assertThat(policy.mayReuse("a:1")).isTrue();
    assertThat(policy.onOutOfStep("a:1")).isTrue();
    assertThat(policy.mayReuse("a:1")).isFalse();
    assertThat(policy.mayReuse("a:2")).isTrue();
  }

  @Test
  void connectionsAreReusedAgainAfterThePause() {
    policy.onOutOfStep("a:1");
    clock.advance(PAUSE.minusMillis(1));
    assertThat(policy.mayReuse("a:1")).isFalse();
    clock.advance(Duration.ofMillis(1));
    assertThat(policy.mayReuse("a:1")).isTrue();
  }

  @Test
  void thePauseBeginsAnewWhenServerIsOutOfStepAgain() {
    policy.onOutOfStep("a:1");
    clock.advance(PAUSE.minusMillis(1));
    assertThat(policy.onOutOfStep("a:1")).isFalse();
    clock.advance(PAUSE.minusMillis(1));
    assertThat(policy.mayReuse("a:1")).isFalse();
  }

  @Test
  void rememberedServersAreBounded() {
    for (int i = 0; i <= 1_024; i++) {
      policy.onOutOfStep("a:" + i);
    }
    assertThat(policy.mayReuse("a:0")).isTrue();
    assertThat(policy.mayReuse("a:1")).isFalse();
    assertThat(policy.mayReuse("a:1024")).isFalse();
  }
}
