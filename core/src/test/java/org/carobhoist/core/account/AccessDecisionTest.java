package org.carobhoist.core.account;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import org.carobhoist.core.account.AccessDecision.Accepted;
import org.carobhoist.core.account.AccessDecision.Unauthorized;
import org.carobhoist.core.account.AccessDecision.Unsure;
import org.junit.jupiter.api.Test;

/** Guards against requests that are accepted without a key, or refused while the key may be new. */
final class AccessDecisionTest {

  private static final AccountName NAME = new AccountName("hule930");
  private static final Credentials KNOWN = new Credentials.Key(ApiKey.ofText("k1"));
  private static final Credentials UNKNOWN = new Credentials.Key(ApiKey.ofText("k2"));
  private static final Credentials MALFORMED = new Credentials.Malformed();
  private static final Credentials MISSING = new Credentials.Missing();

  private static final AccessDecision ACCOUNT = new Accepted(ClientIdentity.of(NAME));
  private static final AccessDecision ANONYMOUS = new Accepted(ClientIdentity.ANONYMOUS);

  private static final Optional<Accounts> ACCOUNTS =
      Optional.of(
          Accounts.of(
              List.of(new Account(NAME, List.of(ApiKey.ofText("k1")), OptionalInt.empty()))));

  private static AccessDecision route(Credentials credentials, boolean isPublic, boolean stale) {
    return AccessDecision.forRoute(ACCOUNTS, isPublic, credentials, stale);
  }

  private static AccessDecision job(Credentials credentials, boolean stale) {
    return AccessDecision.forJob(ACCOUNTS, credentials, stale);
  }

  @Test
  void everyRequestIsAcceptedWithoutAccounts() {
    AccessDecision disabled = new Accepted(ClientIdentity.ACCOUNTS_DISABLED);
    for (Credentials c : List.of(KNOWN, MALFORMED, MISSING)) {
      assertThat(AccessDecision.forRoute(Optional.empty(), false, c, true)).isEqualTo(disabled);
      assertThat(AccessDecision.forJob(Optional.empty(), c, true)).isEqualTo(disabled);
    }
  }

  @Test
  void emptyListOfAccountsAcceptsNoKey() {
    Optional<Accounts> none = Optional.of(Accounts.of(List.of()));
    assertThat(AccessDecision.forRoute(none, false, KNOWN, false)).isInstanceOf(Unauthorized.class);
  }

  @Test
  void routeNeedsKnownKeyUnlessPublic() {
    assertThat(route(KNOWN, false, false)).isEqualTo(ACCOUNT);
    assertThat(route(KNOWN, true, false)).isEqualTo(ACCOUNT);
    for (Credentials c : List.of(UNKNOWN, MALFORMED, MISSING)) {
      assertThat(route(c, false, false)).isInstanceOf(Unauthorized.class);
      assertThat(route(c, true, false)).isEqualTo(ANONYMOUS);
    }
  }

  @Test
  void unknownKeyIsNotRefusedForGoodWhileTheStoreCannotBeRead() {
    assertThat(route(UNKNOWN, false, true)).isInstanceOf(Unsure.class);
    assertThat(job(UNKNOWN, true)).isInstanceOf(Unsure.class);
    assertThat(route(KNOWN, false, true)).isEqualTo(ACCOUNT);
    assertThat(route(MALFORMED, false, true)).isInstanceOf(Unauthorized.class);
    assertThat(route(MISSING, false, true)).isInstanceOf(Unauthorized.class);
    assertThat(route(UNKNOWN, true, true)).isEqualTo(ANONYMOUS);
  }

  @Test
  void callsToJobsNeedNoKeyButNoUnknownOne() {
    assertThat(job(KNOWN, false)).isEqualTo(ACCOUNT);
    assertThat(job(MISSING, false)).isEqualTo(ANONYMOUS);
    assertThat(job(UNKNOWN, false)).isInstanceOf(Unauthorized.class);
    assertThat(job(MALFORMED, false)).isInstanceOf(Unauthorized.class);
  }
}
