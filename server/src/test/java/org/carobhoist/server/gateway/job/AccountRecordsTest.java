package org.carobhoist.server.gateway.job;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.linecorp.armeria.common.RequestHeaders;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.carobhoist.core.account.AccountName;
import org.carobhoist.core.common.InstanceId;
import org.carobhoist.core.common.RequestId;
import org.carobhoist.core.common.ServiceName;
import org.carobhoist.core.common.WeightVersion;
import org.carobhoist.core.job.ItemId;
import org.carobhoist.core.job.ItemResult;
import org.carobhoist.core.job.JobHead;
import org.carobhoist.core.job.JobId;
import org.carobhoist.core.job.JobItem;
import org.carobhoist.core.job.JobRecord;
import org.carobhoist.core.job.RewardRequest;
import org.carobhoist.core.manifest.JobRules;
import org.carobhoist.core.placement.RunOrder;
import org.carobhoist.core.placement.TextDelta;
import org.carobhoist.core.store.KeyedRecord;
import org.carobhoist.core.store.StoredRecord;
import org.carobhoist.platform.CallHeaders;
import org.junit.jupiter.api.Test;

/** Guards against an account that is lost or replaced between submission and engine. */
final class AccountRecordsTest {

  private static final AccountName NAME = new AccountName("Team 4/b");
  private static final JobId JOB = new JobId("j1").scopedTo(NAME);
  private static final InstanceId ENGINE = new InstanceId("e-1");
  private static final JobRules RULES =
      new JobRules(Duration.ofSeconds(7), Duration.ofSeconds(40), false);

  private final ProtobufJobRecordCodec codec = new ProtobufJobRecordCodec();

  private static JobHead head(JobId id, Optional<AccountName> account) {
    ServiceName service = new ServiceName("lm");
    return new JobHead(id, service, "h", "r", Instant.EPOCH, RULES, 2, 1, account);
  }

  private static StoredRecord stored(KeyedRecord keyed) {
    return new StoredRecord(0, keyed.key(), keyed.value());
  }

  private static JobItem item(JobItem.Header... headers) {
    ItemId id = new ItemId("i1");
    return new JobItem(id, "", "/run", List.of(headers), new byte[0], 0, 0, 0);
  }

  private static RunOrder order(Optional<AccountName> account, JobItem.Header... headers) {
    return new RunOrder(
        1,
        account.isPresent() ? JOB : new JobId("j1"),
        item(headers),
        "h",
        ENGINE,
        "10.0.0.1:80",
        TextDelta.NONE,
        new WeightVersion(1),
        Optional.empty(),
        false,
        Duration.ofSeconds(1),
        account);
  }

  private static RequestHeaders toEngine(RunOrder order) {
    return CallHeaders.forItem(
        order.item(), order.account(), order.host(), ENGINE, order.timeLeft(), "");
  }

  @Test
  void recordsOfJobsKeepTheAccount() {
    JobHead head = head(JOB, Optional.of(NAME));
    KeyedRecord accepted = codec.acceptedRecords(head, new byte[] {1}).get(0);
    assertThat(((JobRecord.Accepted) codec.decode(stored(accepted))).head()).isEqualTo(head);
    ItemResult result = new ItemResult(new ItemId("i1"), true, Set.of(), new byte[0]);
    KeyedRecord published = codec.resultRecord(JOB, result);
    assertThat(codec.decode(stored(published)).job()).isEqualTo(JOB);
    assertThat(codec.parseResultKey(published.key()).job()).isEqualTo(JOB);
    assertThat(codec.parseResultKey(published.key()).item()).isEqualTo(new ItemId("i1"));
    assertThat(codec.decode(stored(codec.endRecord(JOB)))).isEqualTo(new JobRecord.Ended(JOB));
  }

  @Test
  void recordsOfJobsWithoutAccountAreUnchanged() {
    JobHead head = head(new JobId("j1"), Optional.empty());
    KeyedRecord accepted = codec.acceptedRecords(head, new byte[] {1}).get(0);
    assertThat(accepted.key()).isEqualTo("job/j1/0");
    assertThat(((JobRecord.Accepted) codec.decode(stored(accepted))).head()).isEqualTo(head);
    assertThat(codec.endRecord(new JobId("j1")).key()).isEqualTo("end/j1/");
  }

  @Test
  void recordWithAnotherAccountThanItsKeyIsInvalid() {
    KeyedRecord accepted = codec.acceptedRecords(head(JOB, Optional.of(NAME)), new byte[1]).get(0);
    StoredRecord moved = new StoredRecord(0, "job/j1/0", accepted.value());
    assertThrows(IllegalArgumentException.class, () -> codec.decode(moved));
  }

  @Test
  void noticeOfJobThatIsNotStoredYetKeepsTheAccount() {
    JobHead head = head(JOB, Optional.of(NAME));
    var notice = ProtobufJobRecordCodec.noticeMessage(head, new byte[] {1});
    assertThat(ProtobufJobRecordCodec.head(JobId.parse(JOB.value()), notice)).isEqualTo(head);
  }

  @Test
  void ordersToOtherRunnersKeepTheAccount() {
    RunOrder decoded = RunMapper.order(RunMapper.startMessage(3, order(Optional.of(NAME))));
    assertThat(decoded.account()).isEqualTo(Optional.of(NAME));
    assertThat(decoded.job()).isEqualTo(JOB);
    RunOrder without = RunMapper.order(RunMapper.startMessage(3, order(Optional.empty())));
    assertThat(without.account()).isEqualTo(Optional.empty());
    assertThat(without.job()).isEqualTo(new JobId("j1"));
  }

  @Test
  void engineIsToldTheAccountOfTheJob() {
    JobItem.Header[] forged = {
      new JobItem.Header("Authorization", "Bearer k1"),
      new JobItem.Header("CAROBHOIST-TENANT", "forged"),
      new JobItem.Header("carobhoist-tenant", "forged"),
      new JobItem.Header("Connection", "carobhoist-tenant"),
      new JobItem.Header("Carobhoist-Model", "m0")
    };
    RequestHeaders out = toEngine(order(Optional.of(NAME), forged));
    assertThat(out.getAll("carobhoist-tenant")).containsExactly(NAME.value());
    assertThat(out.contains("authorization")).isFalse();
    assertThat(out.contains("connection")).isFalse();
    assertThat(out.get("carobhoist-model")).isEqualTo("m0");
    RequestHeaders unchanged = toEngine(order(Optional.empty(), forged));
    assertThat(unchanged.getAll("carobhoist-tenant")).containsExactly("forged", "forged");
    assertThat(unchanged.get("authorization")).isEqualTo("Bearer k1");
    RunOrder stripped =
        order(Optional.empty(), forged)
            .withItem(CallHeaders.withoutIdentity(order(Optional.empty(), forged).item()));
    assertThat(toEngine(stripped).contains("carobhoist-tenant")).isFalse();
    assertThat(toEngine(stripped).contains("authorization")).isFalse();
    assertThat(toEngine(stripped).get("carobhoist-model")).isEqualTo("m0");
  }

  @Test
  void rewardCallsNameNoAccount() {
    RewardRequest reward = new RewardRequest(new RequestId("s1"), "h", "/score", new byte[0]);
    RequestHeaders out = CallHeaders.forReward(reward, ENGINE, Duration.ofSeconds(1));
    assertThat(out.contains("carobhoist-tenant")).isFalse();
    assertThat(out.contains("authorization")).isFalse();
  }
}
