package org.carobhoist.core.limit;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.carobhoist.core.common.Priority;
import org.carobhoist.core.common.Refusal;
import org.carobhoist.core.common.RefusalReason;
import org.carobhoist.core.common.Verdict;
import org.carobhoist.core.testing.ManualClock;
import org.carobhoist.core.testing.Schedules;
import org.junit.jupiter.api.Test;

final class AdmissionQueueTest {

  private static final long SEED = 4_100;
  private static final int SCHEDULES = 2_000;

  private final ManualClock clock = new ManualClock();
  private final List<Long> admitted = new ArrayList<>();
  private final Map<Long, Refusal> refused = new HashMap<>();
  private AdmissionQueue queue = queue(2, 4);

  @Test
  void runsUpToTheLimitAndQueuesTheRest() {
    offer(1, Priority.STANDARD, "a");
    offer(2, Priority.STANDARD, "a");
    offer(3, Priority.STANDARD, "a");

    assertThat(admitted).containsExactly(1L, 2L).inOrder();
    queue.complete(1);
    assertThat(admitted).containsExactly(1L, 2L, 3L).inOrder();
    assertThat(refused).isEmpty();
  }

  @Test
  void admitsInteractiveRequestsBeforeRollouts() {
    queue = queue(4, 8);
    for (long id = 1; id <= 4; id++) {
      offer(id, Priority.INTERACTIVE, "a");
    }
    offer(5, Priority.ROLLOUT, "t");
    offer(6, Priority.ROLLOUT, "t");
    offer(7, Priority.INTERACTIVE, "a");
    offer(8, Priority.INTERACTIVE, "a");

    queue.complete(1);
    queue.complete(2);
    queue.complete(3);

    // One slot of four is guaranteed to rollouts; the other two go to the urgent class.
    assertThat(admitted.subList(4, 7)).containsExactly(5L, 7L, 8L).inOrder();
  }

  @Test
  void keepsReservedSlotsFreeOfRollouts() {
    queue = queue(10, 20);
    for (long id = 1; id <= 12; id++) {
      offer(id, Priority.ROLLOUT, "t");
    }
    assertThat(queue.running()).isEqualTo(9);

    offer(13, Priority.INTERACTIVE, "a");
    assertThat(admitted).contains(13L);
  }

  @Test
  void sharesSlotsByWeight() {
    queue = queue(1, 100);
    queue.setTenantPolicies(t -> new TenantPolicy(t.equals("heavy") ? 3 : 1, 100, 100));
    offer(0, Priority.STANDARD, "other");
    for (long id = 1; id <= 40; id++) {
      offer(id, Priority.STANDARD, "heavy");
      offer(id + 100, Priority.STANDARD, "light");
    }
    for (int i = 0; i < 40; i++) {
      queue.complete(admitted.get(admitted.size() - 1));
    }
    long heavy = admitted.stream().filter(id -> id >= 1 && id <= 40).count();
    assertThat(heavy).isEqualTo(30);
  }

  @Test
  void limitsWaitingAndRunningRequestsOfTenant() {
    queue = queue(4, 100);
    queue.setTenantPolicies(t -> new TenantPolicy(1, 1, 2));
    offer(1, Priority.STANDARD, "a");
    offer(2, Priority.STANDARD, "a");
    offer(3, Priority.STANDARD, "a");
    offer(4, Priority.STANDARD, "a");
    offer(5, Priority.STANDARD, "b");

    assertThat(admitted).containsExactly(1L, 2L, 5L);
    assertThat(refused.keySet()).containsExactly(4L);
  }

  @Test
  void evictsNewestRolloutForUrgentRequestWhenQueueIsFull() {
    queue = queue(1, 2);
    offer(1, Priority.ROLLOUT, "t");
    offer(2, Priority.ROLLOUT, "t");
    offer(3, Priority.ROLLOUT, "t");
    offer(4, Priority.INTERACTIVE, "a");

    assertThat(refused.keySet()).containsExactly(3L);
    assertThat(refused.get(3L).verdict()).isEqualTo(Verdict.NOT_RUN);
  }

  @Test
  void refusesRequestOnArrivalIfItCannotMeetItsDeadline() {
    queue = queue(1, 100);
    offer(1, Priority.STANDARD, "a");
    clock.advance(Duration.ofSeconds(1));
    queue.complete(1);
    for (long id = 2; id <= 5; id++) {
      offer(id, Priority.STANDARD, "a");
    }

    offer(6, Priority.STANDARD, "a", Duration.ofSeconds(3));

    Refusal refusal = refused.get(6L);
    assertThat(refusal.verdict()).isEqualTo(Verdict.NOT_RUN);
    assertThat(refusal.reason()).isEqualTo(RefusalReason.OVERLOADED);
    assertThat(refusal.retryAfter()).isGreaterThan(Duration.ofSeconds(1));
  }

  @Test
  void refusesWaitingRequestWhoseDeadlinePasses() {
    queue = queue(1, 100);
    offer(1, Priority.STANDARD, "a");
    offer(2, Priority.STANDARD, "a", Duration.ofMillis(50));
    clock.advance(Duration.ofMillis(50));
    queue.expire();

    assertThat(refused.get(2L).verdict()).isEqualTo(Verdict.NOT_RUN);
    queue.complete(1);
    assertThat(admitted).containsExactly(1L);
  }

  @Test
  void admitsRequestToIdleEndpointDespiteHighEstimate() {
    offer(1, Priority.STANDARD, "a");
    clock.advance(Duration.ofMinutes(1));
    queue.complete(1);

    offer(2, Priority.STANDARD, "a", Duration.ofSeconds(1));

    assertThat(admitted).contains(2L);
  }

  @Test
  void holdsRequestsBackUntilKvCacheIsFree() {
    queue = queue(8, 8);
    queue.onFreeKvTokens(1_000);
    offerTokens(1, 600);
    offerTokens(2, 600);
    assertThat(admitted).containsExactly(1L);

    queue.onFreeKvTokens(700);
    assertThat(admitted).containsExactly(1L, 2L);
  }

  @Test
  void ignoresOutdatedReportOfKvCache() {
    queue = queue(8, 8);
    queue.onFreeKvTokens(10);
    offerTokens(1, 600);
    offerTokens(2, 600);
    clock.advance(Duration.ofSeconds(5));
    offerTokens(3, 600);

    assertThat(admitted).containsExactly(1L, 2L, 3L);
  }

  @Test
  void refusesNewRequestsWhileDrainingAndRunsAcceptedOnes() {
    offer(1, Priority.STANDARD, "a");
    offer(2, Priority.STANDARD, "a");
    offer(3, Priority.STANDARD, "a");
    queue.drain();
    offer(4, Priority.STANDARD, "a");
    assertThat(refused.get(4L).reason()).isEqualTo(RefusalReason.DRAINING);

    queue.complete(1);
    queue.complete(2);
    queue.fail(3);
    assertThat(admitted).containsExactly(1L, 2L, 3L);
    assertThat(queue.isIdle()).isTrue();
  }

  /** Checks that each request is admitted or refused exactly once and that no limit is exceeded. */
  @Test
  void admitsOrRefusesEveryRequestOnceUnderRandomSchedules() {
    assertThat(Schedules.explore(SEED, SCHEDULES, random -> new Schedule(random).run())).isEmpty();
  }

  private static final class Schedule {
    private final java.util.SplittableRandom random;
    private final ManualClock clock = new ManualClock();
    private final LimitPolicy policy;
    private final AdmissionQueue queue;
    private final Map<Long, Integer> decisionCounts = new HashMap<>();
    private final List<Long> running = new ArrayList<>();
    private Optional<String> violation = Optional.empty();

    private Schedule(java.util.SplittableRandom random) {
      this.random = random;
      int max = 1 + random.nextInt(12);
      this.policy =
          new LimitPolicy(
              1 + random.nextInt(max), 1, max, random.nextInt(10), Duration.ofSeconds(1));
      this.queue = AdmissionQueue.create(policy, clock);
    }

    private Optional<String> run() {
      for (long id = 0; id < 120 && violation.isEmpty(); id++) {
        clock.advance(Duration.ofMillis(random.nextInt(60)));
        queue.expire();
        offerRandom(id);
        if (!running.isEmpty() && random.nextInt(3) > 0) {
          endRequest(running.remove(random.nextInt(running.size())));
        }
        checkBounds();
      }
      clock.advance(Duration.ofSeconds(2));
      queue.expire();
      while (!running.isEmpty()) {
        endRequest(running.remove(0));
      }
      check(queue.isIdle(), "queue is not idle at the end");
      check(decisionCounts.size() == 120, decisionCounts.size() + " requests decided");
      check(decisionCounts.values().stream().allMatch(n -> n == 1), "a request was decided twice");
      return violation;
    }

    private void offerRandom(long id) {
      Priority p = Priority.values()[random.nextInt(3)];
      Optional<Duration> deadline =
          random.nextBoolean()
              ? Optional.of(clock.elapsed().plusMillis(1 + random.nextInt(300)))
              : Optional.empty();
      queue.offer(
          new AdmissionTicket(
              id,
              p,
              "t" + random.nextInt(3),
              deadline,
              random.nextInt(100),
              () -> onAdmit(id, deadline),
              refusal -> decisionCounts.merge(id, 1, Integer::sum)));
    }

    private void onAdmit(long id, Optional<Duration> deadline) {
      decisionCounts.merge(id, 1, Integer::sum);
      running.add(id);
      check(deadline.map(d -> d.compareTo(clock.elapsed()) > 0).orElse(true), "admitted too late");
    }

    private void endRequest(long id) {
      if (random.nextInt(4) == 0) {
        queue.fail(id);
      } else {
        queue.complete(id);
      }
    }

    private void checkBounds() {
      check(queue.queued() <= policy.queueLength(), "too many requests are waiting");
      check(
          queue.limit() >= policy.minLimit() && queue.limit() <= policy.maxLimit(),
          "limit out of range");
      check(queue.running() <= policy.maxLimit(), "too many requests are running");
    }

    private void check(boolean condition, String message) {
      if (!condition && violation.isEmpty()) {
        violation = Optional.of(message);
      }
    }
  }

  private AdmissionQueue queue(int limit, int length) {
    return AdmissionQueue.create(
        new LimitPolicy(limit, 1, limit, length, Duration.ofSeconds(10)), clock);
  }

  private void offer(long id, Priority priority, String tenant) {
    offer(id, priority, tenant, Optional.empty(), 0);
  }

  private void offer(long id, Priority priority, String tenant, Duration timeLeft) {
    offer(id, priority, tenant, Optional.of(clock.elapsed().plus(timeLeft)), 0);
  }

  private void offer(
      long id, Priority priority, String tenant, Optional<Duration> deadline, long tokens) {
    queue.offer(
        new AdmissionTicket(
            id,
            priority,
            tenant,
            deadline,
            tokens,
            () -> admitted.add(id),
            refusal -> refused.put(id, refusal)));
  }

  private void offerTokens(long id, long tokens) {
    offer(id, Priority.STANDARD, "a", Optional.empty(), tokens);
  }
}
