package org.carobhoist.server.gateway.coordination;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.carobhoist.core.account.AccountName;
import org.carobhoist.core.account.Accounts;
import org.carobhoist.core.common.InstanceId;
import org.carobhoist.core.common.WeightVersion;
import org.carobhoist.core.job.ItemId;
import org.carobhoist.core.job.JobId;
import org.carobhoist.core.job.JobItem;
import org.carobhoist.core.manifest.Limits;
import org.carobhoist.core.manifest.Manifest;
import org.carobhoist.core.placement.RunOrder;
import org.carobhoist.core.placement.TextDelta;
import org.junit.jupiter.api.Test;

/** Guards against an item of a job without an account that claims to be of one. */
final class ItemIdentityTest {

  private static final Duration SECOND = Duration.ofSeconds(1);
  private static final Manifest WITHOUT_ACCOUNTS =
      Manifest.of(1, List.of(), Map.of(), new Limits(1, 1, SECOND, SECOND));
  private static final Manifest WITH_ACCOUNTS =
      WITHOUT_ACCOUNTS.withAccounts(Accounts.of(List.of()));

  private static RunOrder order(Optional<AccountName> account) {
    List<JobItem.Header> headers =
        List.of(
            new JobItem.Header("Carobhoist-Tenant", "hule930"),
            new JobItem.Header("AUTHORIZATION", "Bearer k1"),
            new JobItem.Header("Carobhoist-Model", "m0"));
    JobId id = new JobId("j1");
    return new RunOrder(
        1,
        account.map(id::scopedTo).orElse(id),
        new JobItem(new ItemId("i1"), "", "/run", headers, new byte[0], 0, 0, 0),
        "h",
        new InstanceId("e-1"),
        "10.0.0.1:80",
        TextDelta.NONE,
        new WeightVersion(1),
        Optional.empty(),
        false,
        SECOND,
        account);
  }

  private static List<String> headerNames(
      Optional<AccountName> account, Optional<Manifest> manifest) {
    return ItemIdentity.withoutForgedAccount(order(account), manifest).item().headers().stream()
        .map(JobItem.Header::name)
        .toList();
  }

  @Test
  void jobWithoutAccountCannotNameOne() {
    assertThat(headerNames(Optional.empty(), Optional.of(WITH_ACCOUNTS)))
        .containsExactly("Carobhoist-Model");
  }

  @Test
  void itemsAreUnchangedWithoutAccounts() {
    assertThat(headerNames(Optional.empty(), Optional.of(WITHOUT_ACCOUNTS))).hasSize(3);
    assertThat(headerNames(Optional.empty(), Optional.empty())).hasSize(3);
  }

  @Test
  void itemsOfAccountsAreLeftToTheRunner() {
    RunOrder order = order(Optional.of(new AccountName("fida11")));
    assertThat(ItemIdentity.withoutForgedAccount(order, Optional.of(WITH_ACCOUNTS)))
        .isSameInstanceAs(order);
  }
}
