package org.carobhoist.core.reward;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import org.carobhoist.core.common.RequestId;
import org.carobhoist.core.job.ItemId;
import org.carobhoist.core.job.JobId;
import org.carobhoist.core.job.RewardRequest;
import org.carobhoist.core.testing.EventQueue;
import org.carobhoist.core.testing.ManualClock;
import org.junit.jupiter.api.Test;

final class RewardCallSchedulerTest {

  private static final JobId JOB = new JobId("j1");
  private static final Duration TIME_LEFT = Duration.ofSeconds(40);

  private final ManualClock clock = new ManualClock();
  private final EventQueue queue = new EventQueue(clock);
  private final FakeRewardPort port = new FakeRewardPort();
  private final List<String> results = new ArrayList<>();
  private final RewardCallScheduler calls =
      RewardCallScheduler.create(
          port, RewardPolicy.DEFAULT, clock, queue::schedule, new SplittableRandom(5));

  private void advance(long millis) {
    Duration until = clock.elapsed().plus(Duration.ofMillis(millis));
    queue.run(until);
    clock.advance(until.minus(clock.elapsed()));
  }

  private boolean begin(String item) {
    RewardRequest request =
        new RewardRequest(new RequestId("s-" + item), "b.example", "/score", new byte[0]);
    return calls.begin(
        new RewardKey(JOB, new ItemId(item)),
        request,
        TIME_LEFT,
        score -> results.add(item + " " + score.orElse("none")));
  }

  private void answer(RewardAnswer answer) {
    calls.onAnswer(port.lastSent().number(), answer);
  }

  @Test
  void scoreIsDeliveredOnlyOnce() {
    port.endpoints.add(FakeRewardPort.endpoint("e1", 0, 6));
    assertThat(begin("i1")).isTrue();
    assertThat(begin("i1")).isFalse();
    answer(new RewardAnswer.Score("good"));
    answer(new RewardAnswer.Score("again"));
    assertThat(results).containsExactly("i1 good");
    assertThat(port.sent).hasSize(1);
    assertThat(calls.size()).isEqualTo(0);
  }

  @Test
  void failedCallIsRetriedElsewhereWithGrowingTimeout() {
    port.endpoints.add(FakeRewardPort.endpoint("e1", 0, 6));
    port.endpoints.add(FakeRewardPort.endpoint("e2", 1, 6));
    begin("i1");
    for (int i = 0; i < 9; i++) {
      answer(new RewardAnswer.Failure("reset"));
      int before = port.sent.size();
      advance(RewardPolicy.DEFAULT.maxBackoff().toMillis());
      assertThat(port.sent).hasSize(before + 1);
    }
    assertThat(port.sent.get(0).endpoint()).isNotEqualTo(port.sent.get(1).endpoint());
    assertThat(port.lastSent().timeout()).isGreaterThan(port.sent.get(0).timeout());
    assertThat(port.lastSent().timeout()).isAtMost(RewardPolicy.DEFAULT.maxTimeout());
    answer(new RewardAnswer.Score("good"));
    assertThat(results).containsExactly("i1 good");
  }

  @Test
  void onlyEndpointErrorsCountAgainstMaxAttempts() {
    port.endpoints.add(FakeRewardPort.endpoint("e1", 0, 6));
    begin("i1");
    for (int i = 0; i < 2; i++) {
      answer(new RewardAnswer.EndpointError());
      advance(2_000);
      answer(new RewardAnswer.Failure("reset"));
      advance(2_000);
    }
    assertThat(results).isEmpty();
    answer(new RewardAnswer.EndpointError());
    assertThat(results).containsExactly("i1 none");
    assertThat(port.sent).hasSize(5);
  }

  @Test
  void callOfSplitRouteUsesServiceOfItsEndpoint() {
    port.endpoints.add(FakeRewardPort.endpoint("e1", 0, 6));
    port.alternatesServices = true;
    begin("i1");
    assertThat(port.lastSent().service()).isEqualTo(FakeRewardPort.APP);
  }

  @Test
  void sendsNothingAfterJobHasEnded() {
    port.endpoints.add(FakeRewardPort.endpoint("e1", 0, 6));
    begin("i1");
    begin("i2");
    begin("i3");
    answer(new RewardAnswer.Failure("reset"));
    calls.end(JOB);
    advance(60_000);
    assertThat(port.sent).hasSize(3);
    assertThat(port.cancelled).hasSize(2);
    assertThat(results).isEmpty();
    assertThat(calls.size()).isEqualTo(0);
  }

  @Test
  void callWithoutRouteWaitsUntilDeadline() {
    port.endpoints.add(FakeRewardPort.endpoint("e1", 0, 6));
    final var destination = port.destination;
    port.destination = Optional.empty();
    begin("i1");
    begin("i2");
    advance(5_000);
    assertThat(port.sent).isEmpty();
    assertThat(port.decisions)
        .containsExactly(RewardPort.Decision.FAILED, RewardPort.Decision.FAILED);
    calls.end(new RewardKey(JOB, new ItemId("i2")));
    advance(36_000);
    assertThat(results).containsExactly("i1 none");
    port.destination = destination;
    begin("i3");
    assertThat(port.sent).hasSize(1);
  }

  @Test
  void callIgnoresReportedLoadAfterMaxWait() {
    port.endpoints.add(FakeRewardPort.endpoint("e1", 5, 6));
    begin("i1");
    advance(RewardPolicy.DEFAULT.maxLoadWait().toMillis() - 100);
    assertThat(port.sent).isEmpty();
    advance(200);
    assertThat(port.sent).hasSize(1);
  }

  @Test
  void limitsOwnCallsPerEndpoint() {
    port.endpoints.add(FakeRewardPort.endpoint("e1", 0, 60));
    for (int i = 0; i < 10; i++) {
      begin("i" + i);
    }
    assertThat(port.sent).hasSize(RewardPolicy.DEFAULT.callsPerEndpoint());
    assertThat(calls.waiting()).isEqualTo(10 - port.sent.size());
    answer(new RewardAnswer.Score("good"));
    assertThat(port.sent).hasSize(RewardPolicy.DEFAULT.callsPerEndpoint() + 1);
  }
}
