package org.carobhoist.core.idempotency;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.Random;
import org.carobhoist.core.common.Refusal;
import org.carobhoist.core.common.RefusalReason;
import org.carobhoist.core.common.Verdict;
import org.carobhoist.core.testing.ManualClock;
import org.junit.jupiter.api.Test;

final class DuplicateTableTest {

  private static final Fingerprint BODY = Fingerprint.of("POST", "/bookings", new byte[] {1});
  private static final Fingerprint OTHER_BODY = Fingerprint.of("POST", "/bookings", new byte[] {2});

  private final ManualClock clock = new ManualClock();
  private final Random random = new Random(1);
  private final RecordingWaiter first = new RecordingWaiter();
  private final RecordingWaiter second = new RecordingWaiter();

  @Test
  void joinsRunningRequestAndReplaysItsAnswer() {
    DuplicateTable<String> table = table(10, 1_000);
    RequestKey key = key();
    assertThat(table.claim(key, BODY, Instant.MIN, first)).isTrue();
    table.join(key, BODY, second);
    assertThat(second.answers).isEmpty();
    table.finish(key, "seat 7");
    RecordingWaiter third = new RecordingWaiter();
    table.join(key, BODY, third);
    assertThat(first.answers).containsExactly("seat 7");
    assertThat(second.answers).containsExactly("seat 7");
    assertThat(third.answers).containsExactly("seat 7");
  }

  @Test
  void refusesDifferentBodyUnderSameKey() {
    DuplicateTable<String> table = table(10, 1_000);
    RequestKey key = key();
    table.claim(key, BODY, Instant.MIN, first);
    table.join(key, OTHER_BODY, second);
    assertThat(second.refusals.get(0).reason()).isEqualTo(RefusalReason.KEY_REUSED);
    assertThat(second.refusals.get(0).reason().status()).isEqualTo(422);
  }

  @Test
  void keyOfRequestThatDidNotRunCanBeClaimedAgain() {
    DuplicateTable<String> table = table(10, 1_000);
    RequestKey key = key();
    table.claim(key, BODY, Instant.MIN, first);
    table.fail(key, Refusal.notRun(RefusalReason.OVERLOADED, "full"));
    assertThat(first.refusals.get(0).verdict()).isEqualTo(Verdict.NOT_RUN);
    assertThat(table.contains(key)).isFalse();
    assertThat(table.claim(key, BODY, Instant.MIN, second)).isTrue();
  }

  @Test
  void keepsVerdictOfRequestThatMayHaveRun() {
    DuplicateTable<String> table = table(10, 1_000);
    RequestKey key = key();
    table.claim(key, BODY, Instant.MIN, first);
    table.fail(key, Refusal.mayHaveRun(RefusalReason.ENDPOINT_FAILED, "broke off"));
    table.join(key, BODY, second);
    assertThat(second.refusals.get(0).verdict()).isEqualTo(Verdict.MAY_HAVE_RUN);
  }

  @Test
  void raisesFloorWhenEvicting() {
    DuplicateTable<String> table = table(2, 1_000);
    RequestKey oldest = finished(table, "a");
    final RequestKey middle = finished(table, "b");
    finished(table, "c");
    assertThat(table.size()).isEqualTo(2);
    assertThat(table.floor()).isEqualTo(oldest.creationTime());
    assertThat(table.claim(oldest, BODY, Instant.MIN, first)).isFalse();
    assertThat(first.refusals.get(0).verdict()).isEqualTo(Verdict.MAY_HAVE_RUN);
    table.join(middle, BODY, second);
    assertThat(second.answers).containsExactly("b");
  }

  @Test
  void neverEvictsRunningRequest() {
    DuplicateTable<String> table = table(1, 1_000);
    RequestKey running = key();
    table.claim(running, BODY, Instant.MIN, first);
    assertThat(table.claim(key(), BODY, Instant.MIN, second)).isFalse();
    assertThat(second.refusals.get(0).reason()).isEqualTo(RefusalReason.OVERLOADED);
    assertThat(second.refusals.get(0).verdict()).isEqualTo(Verdict.NOT_RUN);
    assertThat(table.contains(running)).isTrue();
  }

  @Test
  void boundsTotalSizeOfStoredAnswers() {
    DuplicateTable<String> table = table(100, 10);
    finished(table, "12345");
    finished(table, "12345");
    RequestKey third = finished(table, "12345");
    assertThat(table.bytes()).isEqualTo(10);
    assertThat(table.contains(third)).isTrue();
    RequestKey large = finished(table, "12345678901");
    table.join(large, BODY, second);
    assertThat(second.refusals.get(0).verdict()).isEqualTo(Verdict.MAY_HAVE_RUN);
    assertThat(table.bytes()).isAtMost(10);
  }

  @Test
  void evictsOutcomeAfterRetentionTime() {
    DuplicateTable<String> table = table(100, 1_000);
    RequestKey key = finished(table, "a");
    clock.advance(Duration.ofMinutes(11));
    table.expire();
    assertThat(table.contains(key)).isFalse();
    assertThat(table.floor()).isEqualTo(key.creationTime());
  }

  private DuplicateTable<String> table(int entries, long bytes) {
    return DuplicateTable.create(
        new DuplicatePolicy(entries, bytes, Duration.ofMinutes(10)), clock, String::length);
  }

  private RequestKey finished(DuplicateTable<String> table, String answer) {
    RequestKey key = key();
    table.claim(key, BODY, Instant.MIN, new RecordingWaiter());
    table.finish(key, answer);
    return key;
  }

  private RequestKey key() {
    clock.advance(Duration.ofMillis(5));
    return RequestKey.ofCaller(IdempotencyKey.mint(clock.now(), random));
  }
}
