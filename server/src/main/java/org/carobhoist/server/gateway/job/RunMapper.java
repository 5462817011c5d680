package org.carobhoist.server.gateway.job;

import com.google.protobuf.ByteString;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.stream.Collectors;
import org.carobhoist.core.account.AccountName;
import org.carobhoist.core.common.InstanceId;
import org.carobhoist.core.common.RequestId;
import org.carobhoist.core.common.WeightVersion;
import org.carobhoist.core.job.ItemId;
import org.carobhoist.core.job.JobId;
import org.carobhoist.core.job.JobItem;
import org.carobhoist.core.job.RewardRequest;
import org.carobhoist.core.placement.RunOrder;
import org.carobhoist.core.placement.RunOutcome;
import org.carobhoist.core.placement.RunReport;
import org.carobhoist.core.placement.TextDelta;
import org.carobhoist.server.link.proto.Header;
import org.carobhoist.server.link.proto.RewardCall;
import org.carobhoist.server.link.proto.RunStart;
import org.carobhoist.server.link.proto.RunText;

/** Converts run orders and run reports to and from the messages between coordinator and runner. */
public final class RunMapper {

  private RunMapper() {}

  /** Encodes the order to start a run, for a runner in another process. */
  public static RunStart startMessage(long term, RunOrder order) {
    RunStart.Builder out =
        RunStart.newBuilder()
            .setTerm(term)
            .setRun(order.run())
            .setJob(order.job().value())
            .setItem(order.item().id().value())
            .setEngine(order.engine().value())
            .setAddress(order.address())
            .setPrefix(textMessage(order.prefix()))
            .setMinVersion(order.minVersion().number())
            .setOnlyVersion(order.requiredVersion().map(WeightVersion::number).orElse(0L))
            .setSingleVersion(order.singleVersion())
            .setHost(order.host())
            .setPath(order.item().path())
            .setContent(ByteString.copyFrom(order.item().body()))
            .setRemainingMillis(order.timeLeft().toMillis());
    order.account().ifPresent(a -> out.setAccount(a.value()));
    order.item().reward().ifPresent(r -> out.setReward(rewardMessage(r)));
    for (JobItem.Header h : order.item().headers()) {
      out.addHeaders(Header.newBuilder().setName(h.name()).setValue(h.value()));
    }
    return out.build();
  }

  /** Decodes the order to start a run. */
  public static RunOrder order(RunStart message) {
    List<JobItem.Header> headers =
        message.getHeadersList().stream()
            .map(h -> new JobItem.Header(h.getName(), h.getValue()))
            .toList();
    JobItem item =
        new JobItem(
            new ItemId(message.getItem()),
            "",
            message.getPath(),
            headers,
            message.getContent().toByteArray(),
            0,
            0,
            0);
    return new RunOrder(
        message.getRun(),
        JobId.parse(message.getJob()),
        message.hasReward() ? item.withReward(reward(message.getReward())) : item,
        message.getHost(),
        new InstanceId(message.getEngine()),
        message.getAddress(),
        delta(message.getPrefix()),
        new WeightVersion(message.getMinVersion()),
        Optional.of(message.getOnlyVersion()).filter(v -> v > 0).map(WeightVersion::new),
        message.getSingleVersion(),
        Duration.ofMillis(message.getRemainingMillis()),
        account(message.getAccount()));
  }

  /** Encodes the progress or the end of a run. */
  public static org.carobhoist.server.link.proto.RunReport reportMessage(
      long term, RunReport report) {
    return org.carobhoist.server.link.proto.RunReport.newBuilder()
        .setTerm(term)
        .setRun(report.run())
        .setJob(report.job().value())
        .setItem(report.item().value())
        .setEngine(report.engine().value())
        .setText(textMessage(report.text()))
        .setOutcomeValue(report.outcome().ordinal())
        .setEngineVersion(report.engineVersion().number())
        .setEngineLeaves(report.engineLeaving())
        .build();
  }

  /** Decodes the progress or the end of a run. */
  public static RunReport report(org.carobhoist.server.link.proto.RunReport message) {
    RunOutcome[] outcomes = RunOutcome.values();
    int outcome = message.getOutcomeValue();
    return new RunReport(
        message.getRun(),
        JobId.parse(message.getJob()),
        new ItemId(message.getItem()),
        new InstanceId(message.getEngine()),
        delta(message.getText()),
        outcome >= 0 && outcome < outcomes.length ? outcomes[outcome] : RunOutcome.BROKEN,
        new WeightVersion(message.getEngineVersion()),
        message.getEngineLeaves());
  }

  static Optional<AccountName> account(String name) {
    return name.isEmpty() ? Optional.empty() : Optional.of(new AccountName(name));
  }

  private static RewardCall rewardMessage(RewardRequest request) {
    return RewardCall.newBuilder()
        .setId(request.id().value())
        .setHost(request.host())
        .setPath(request.path())
        .setContent(ByteString.copyFrom(request.body()))
        .build();
  }

  private static RewardRequest reward(RewardCall message) {
    return new RewardRequest(
        new RequestId(message.getId()),
        message.getHost(),
        message.getPath(),
        message.getContent().toByteArray());
  }

  static RunText textMessage(TextDelta delta) {
    return RunText.newBuilder()
        .setSkipped(delta.firstEventIndex())
        .setEvents(delta.eventCount())
        .setContent(ByteString.copyFrom(delta.content()))
        .setLastId(delta.lastId())
        .addAllVersions(delta.versions().stream().map(WeightVersion::number).toList())
        .build();
  }

  static TextDelta delta(RunText message) {
    return new TextDelta(
        message.getSkipped(),
        message.getEvents(),
        message.getContent().toByteArray(),
        message.getLastId(),
        message.getVersionsList().stream().map(WeightVersion::new).collect(Collectors.toSet()));
  }
}
