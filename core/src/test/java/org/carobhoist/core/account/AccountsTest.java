package org.carobhoist.core.account;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import org.junit.jupiter.api.Test;

/** Guards against keys that reach a log, and against accounts that share a name or a key. */
final class AccountsTest {

  private static final String KEY = "sk-4411-secret";

  /** First digits of the SHA-256 digest of {@link #KEY}, computed with another program. */
  private static final String FINGERPRINT = "cb99c5cc";

  private static Account account(String name, String... keys) {
    return new Account(
        new AccountName(name),
        Arrays.stream(keys).map(ApiKey::ofText).toList(),
        OptionalInt.empty());
  }

  @Test
  void findsAccountsByKey() {
    Accounts accounts = Accounts.of(List.of(account("hule930", "a", "b"), account("fida11", "c")));
    assertThat(accounts.find(ApiKey.ofText("b")).map(Account::name))
        .isEqualTo(Optional.of(new AccountName("hule930")));
    assertThat(accounts.find(ApiKey.ofText("c")).map(Account::name))
        .isEqualTo(Optional.of(new AccountName("fida11")));
    assertThat(accounts.find(ApiKey.ofText("d"))).isEqualTo(Optional.empty());
    assertThat(accounts.find(new AccountName("fida11")).isPresent()).isTrue();
  }

  @Test
  void keysAppearAsFingerprintsOnly() {
    ApiKey key = ApiKey.ofText(KEY);
    assertThat(key.fingerprint()).isEqualTo(FINGERPRINT);
    assertThat(account("hule930", KEY).toString()).contains(FINGERPRINT);
    assertThat(account("hule930", KEY).toString()).doesNotContain("4411");
    assertThat(new Credentials.Key(key).toString()).doesNotContain("4411");
  }

  @Test
  void rejectsSharedNamesAndKeysWithoutNamingTheKey() {
    Exception sameKey =
        assertThrows(
            IllegalArgumentException.class,
            () -> Accounts.of(List.of(account("hule930", KEY), account("fida11", KEY))));
    assertThat(sameKey).hasMessageThat().contains(FINGERPRINT);
    assertThat(sameKey).hasMessageThat().contains("fida11");
    assertThat(sameKey).hasMessageThat().doesNotContain("4411");
    Exception sameName =
        assertThrows(
            IllegalArgumentException.class,
            () -> Accounts.of(List.of(account("fida11", "a"), account("fida11", "b"))));
    assertThat(sameName).hasMessageThat().contains("fida11");
  }

  @Test
  void rejectsNamesThatNoHeaderCanCarry() {
    for (String name : List.of("", " a", "a ", "a\r\nx: y", "é", "a".repeat(101))) {
      assertThrows(IllegalArgumentException.class, () -> new AccountName(name));
    }
    assertThat(new AccountName("Team 4/b").value()).isEqualTo("Team 4/b");
  }

  @Test
  void priorityOfAccountPrecedesThatOfRoute() {
    RequestPriority urgentAccount = RequestPriority.of(OptionalInt.of(0), OptionalInt.of(9));
    RequestPriority urgentRoute = RequestPriority.of(OptionalInt.of(1), OptionalInt.of(0));
    RequestPriority lessUrgentRoute = RequestPriority.of(OptionalInt.of(1), OptionalInt.of(4));
    RequestPriority notStated = RequestPriority.of(OptionalInt.empty(), OptionalInt.of(0));
    assertThat(List.of(urgentAccount, urgentRoute, lessUrgentRoute, notStated)).isInOrder();
  }
}
