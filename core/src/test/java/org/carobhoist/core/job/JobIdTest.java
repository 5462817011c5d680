package org.carobhoist.core.job;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.List;
import org.carobhoist.core.account.AccountName;
import org.junit.jupiter.api.Test;

/** Guards against a client that names the job of another account. */
final class JobIdTest {

  private static final AccountName ONE = new AccountName("hule930");
  private static final AccountName TWO = new AccountName("Team 4/b");

  /** Longest id in a key of the store, see the comment at {@link JobId}. */
  private static final int MAX_LENGTH = 100;

  @Test
  void accountsDoNotShareIds() {
    JobId id = new JobId("step-7");
    JobId scoped = id.scopedTo(ONE);
    assertThat(scoped).isNotEqualTo(id);
    assertThat(scoped).isNotEqualTo(id.scopedTo(TWO));
    assertThat(scoped).isEqualTo(new JobId("step-7").scopedTo(new AccountName("hule930")));
    assertThat(scoped.isScopedTo(ONE)).isTrue();
    assertThat(scoped.isScopedTo(TWO)).isFalse();
    assertThat(id.isScopedTo(ONE)).isFalse();
  }

  @Test
  void clientsCannotNameScopedIds() {
    String scoped = new JobId("step-7").scopedTo(ONE).value();
    assertThrows(IllegalArgumentException.class, () -> new JobId(scoped));
    assertThat(JobId.parse(scoped)).isEqualTo(new JobId("step-7").scopedTo(ONE));
    assertThat(JobId.parse("step-7")).isEqualTo(new JobId("step-7"));
    assertThrows(IllegalStateException.class, () -> JobId.parse(scoped).scopedTo(TWO));
  }

  @Test
  void scopedIdsAreNotLongerThanOthers() {
    for (int length : List.of(1, 79, 80, 81, 100)) {
      JobId one = new JobId("x".repeat(length - 1) + "1").scopedTo(TWO);
      JobId two = new JobId("x".repeat(length - 1) + "2").scopedTo(TWO);
      assertThat(one.value().length()).isAtMost(MAX_LENGTH);
      assertThat(one).isNotEqualTo(two);
      assertThat(JobId.parse(one.value())).isEqualTo(one);
    }
  }

  @Test
  void rejectsMalformedScopes() {
    for (String text : List.of("s12/a", "s0123456789abcdef/", "s0123456789abcdef/a/b", "/a", "")) {
      assertThrows(IllegalArgumentException.class, () -> JobId.parse(text));
    }
  }
}
