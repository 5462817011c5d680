package org.carobhoist.core.usage;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.Map;
import org.carobhoist.core.account.AccountName;
import org.carobhoist.core.common.ServiceName;
import org.carobhoist.core.testing.ManualClock;
import org.junit.jupiter.api.Test;

/** Guards against counts in the wrong window, and against windows that pile up in memory. */
final class UsageCounterTest {

  private static final UsagePolicy POLICY =
      UsagePolicy.of(Duration.ofSeconds(5), Duration.ofSeconds(10));
  private static final AccountName ACCOUNT = new AccountName("fida11");

  private final UsageCounter counter = UsageCounter.create(POLICY);

  @Test
  void windowsBeginAtMultiplesOfTheirLength() {
    counter.count(ACCOUNT, 9_999);
    counter.count(ACCOUNT, 10_000);
    counter.count(ACCOUNT, 14_999);
    assertThat(counter.takeCounts())
        .isEqualTo(Map.of(1L, Map.of(ACCOUNT, 1L), 2L, Map.of(ACCOUNT, 2L)));
  }

  @Test
  void decidedWindowsAreDroppedAndGetNoMoreCounts() {
    counter.count(ACCOUNT, 9_999);
    counter.onDecided(1);
    counter.count(ACCOUNT, 9_999);
    assertThat(counter.takeCounts()).isEmpty();
    assertThat(counter.missedCount()).isEqualTo(1);
  }

  @Test
  void atMostSixtyWindowsAreKept() {
    for (int window = 0; window < 100; window++) {
      counter.count(ACCOUNT, window * 5_000L);
    }
    assertThat(counter.windowCount()).isEqualTo(60);
    assertThat(counter.takeCounts().keySet()).contains(99L);
    assertThat(counter.missedCount()).isEqualTo(40);
  }

  @Test
  void beginOfPlainRequestIsItsAnswerMinusTheUsualTimeButNotBeforeItWasSent() {
    ServiceName service = new ServiceName("app");
    UsualServiceTime times = new UsualServiceTime();
    Duration sent = Duration.ofSeconds(100);
    Duration answered = Duration.ofMillis(100_500);
    assertThat(times.beganAt(service, sent, answered)).isEqualTo(answered);
    for (int i = 0; i < 50; i++) {
      times.onLatency(service, Duration.ofMillis(i % 10 == 0 ? 900 : 45));
    }
    Duration began = times.beganAt(service, sent, answered);
    assertThat(answered.minus(began).toMillis()).isAtLeast(40);
    assertThat(answered.minus(began).toMillis()).isAtMost(140);
    assertThat(times.beganAt(service, sent, sent.plusMillis(10))).isEqualTo(sent);
  }

  @Test
  void settingTheTimeOfDayDoesNotChangeTheFleetTime() {
    ManualClock clock = new ManualClock();
    FleetClock fleet = FleetClock.create(clock);
    long start = clock.now().toEpochMilli();
    clock.setSkew(Duration.ofSeconds(5));
    assertThat(fleet.nowMillis()).isEqualTo(start + 5_000);
    assertThat(fleet.wallMillisForReport()).isEqualTo(start + 5_000);
    fleet.onOffset(-5_000);
    assertThat(fleet.nowMillis()).isEqualTo(start);
    clock.setSkew(Duration.ofSeconds(-3));
    clock.advance(Duration.ofSeconds(1));
    assertThat(fleet.nowMillis()).isEqualTo(start + 1_000);
    // The offset may refer to the report before or after the time of day was set.
    fleet.wallMillisForReport();
    fleet.onOffset(-5_000);
    assertThat(fleet.nowMillis()).isEqualTo(start + 1_000);
  }
}
