package org.carobhoist.core.membership;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.carobhoist.core.testing.ManualClock;
import org.junit.jupiter.api.Test;

final class LinkMonitorTest {

  private final ManualClock clock = new ManualClock();
  private final List<String> pinged = new ArrayList<>();
  private final List<String> dead = new ArrayList<>();
  private final LinkMonitor<String> monitor = LinkMonitor.create(new Port(), clock);

  @Test
  void declaresSilentLinkDeadWithinFiveSeconds() {
    monitor.onReceived("frozen");
    for (int i = 0; i < 10; i++) {
      monitor.onReceived("busy");
      tick();
    }
    assertThat(dead).containsExactly("frozen");
    assertThat(pinged).doesNotContain("busy");
  }

  @Test
  void keepsQuietLinkThatAnswersHeartbeats() {
    monitor.onReceived("quiet");
    for (int i = 0; i < 100; i++) {
      int before = pinged.size();
      tick();
      if (pinged.size() > before) {
        monitor.onReceived("quiet");
      }
    }
    assertThat(dead).isEmpty();
    assertThat(pinged.size()).isAtMost(100 / 3);
  }

  @Test
  void declaresNoLinkDeadAfterLocalPause() {
    monitor.onReceived("a");
    tick();
    clock.advance(Duration.ofMinutes(1));
    monitor.tick();
    assertThat(dead).isEmpty();
  }

  private void tick() {
    clock.advance(LinkMonitor.TICK);
    monitor.tick();
  }

  private final class Port implements LinkMonitor.Port<String> {

    @Override
    public void ping(String link) {
      pinged.add(link);
    }

    @Override
    public void declareDead(String link) {
      dead.add(link);
    }
  }
}
