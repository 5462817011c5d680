package org.carobhoist.server.gateway.usage;

import com.linecorp.armeria.client.ClientFactory;
import com.linecorp.armeria.client.Endpoint;
import com.linecorp.armeria.client.RequestOptions;
import com.linecorp.armeria.client.WebClient;
import com.linecorp.armeria.common.SessionProtocol;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.carobhoist.core.account.AccountName;
import org.carobhoist.core.common.Callbacks;
import org.carobhoist.core.common.Clock;
import org.carobhoist.core.common.Incarnation;
import org.carobhoist.core.common.InstanceId;
import org.carobhoist.core.common.ServiceName;
import org.carobhoist.core.duty.DutyAnswer;
import org.carobhoist.core.duty.DutyCaller;
import org.carobhoist.core.duty.DutyPolicy;
import org.carobhoist.core.lease.LeaseManager;
import org.carobhoist.core.store.RecordStore;
import org.carobhoist.core.store.ShardTailer;
import org.carobhoist.core.usage.FleetClock;
import org.carobhoist.core.usage.UsageCoordinator;
import org.carobhoist.core.usage.UsageCounter;
import org.carobhoist.core.usage.UsagePolicy;
import org.carobhoist.core.usage.UsagePort;
import org.carobhoist.core.usage.UsageReporter;
import org.carobhoist.core.usage.UsageSource;
import org.carobhoist.core.usage.UsualServiceTime;
import org.carobhoist.platform.BootSettings;
import org.carobhoist.platform.CloudSettings;
import org.carobhoist.platform.UsageJson;
import org.carobhoist.server.gateway.store.Topics;
import org.carobhoist.server.link.proto.LinkFrame;
import org.carobhoist.server.link.proto.UsageAck;
import org.carobhoist.server.link.proto.UsageReport;
import org.carobhoist.server.log.EventLog;
import org.carobhoist.server.log.LogEvent;
import org.carobhoist.server.metrics.Metric;
import org.carobhoist.server.metrics.ProcessMetrics;
import org.carobhoist.server.runtime.DecisionLoop;
import org.carobhoist.server.state.StateSource;

/**
 * Counts the requests of this gateway for usage reports, and reports the usage of all gateways
 * while this process holds the lease.
 */
public final class UsageService implements UsageRecorder, UsagePort, StateSource {

  private final InstanceId self;
  private final Incarnation incarnation;
  private final DecisionLoop loop;
  private final LeaseManager lease;
  private final BiConsumer<InstanceId, LinkFrame> peers;
  private final FleetClock fleetClock = FleetClock.create(new MonotonicClock());
  private final UsualServiceTime serviceTimes = new UsualServiceTime();
  private final UsageCounter counter;
  private final UsageReporter reporter;
  private final UsageCoordinator coordinator;
  private final WebClient api;
  private final Duration answerTimeout;
  private long term = -1;

  /** Content of the state dump. */
  public record State(
      String calls,
      long decidedThrough,
      long undecided,
      long reported,
      long late,
      long repeated,
      int countedWindows,
      long missedRequests) {}

  private UsageService(
      BootSettings boot,
      CloudSettings cloud,
      Incarnation incarnation,
      DecisionLoop loop,
      Clock leaseClock,
      LeaseManager lease,
      RecordStore store,
      ClientFactory clients,
      BiConsumer<InstanceId, LinkFrame> peers) {
    this.self = boot.node();
    this.incarnation = incarnation;
    this.loop = loop;
    this.lease = lease;
    this.peers = peers;
    UsagePolicy policy = UsagePolicy.of(cloud.usageWindow(), cloud.usageDue());
    DutyPolicy dutyPolicy = DutyPolicy.of(cloud.callsPerSecond(), boot.bounds().orderGap());
    this.answerTimeout = dutyPolicy.answerTimeout();
    this.counter = UsageCounter.create(policy);
    this.reporter = UsageReporter.create(counter, fleetClock, policy);
    this.coordinator =
        UsageCoordinator.create(
            this,
            policy,
            dutyPolicy,
            new ProtobufUsageCodec(),
            fleetClock,
            leaseClock,
            store,
            listener ->
                ShardTailer.create(store, Topics.USAGE, listener, leaseClock, loop, Duration.ZERO),
            lease::mayIssueOrders);
    this.api =
        WebClient.builder(
                SessionProtocol.H1C,
                Endpoint.of(cloud.address().getHostString(), cloud.address().getPort()))
            .factory(clients)
            .build();
  }

  /**
   * Creates the service if the boot file names the platform's API and the duty.
   *
   * @param peers sends a frame to a peer
   */
  public static Optional<UsageService> create(
      BootSettings boot,
      Incarnation incarnation,
      DecisionLoop loop,
      Clock leaseClock,
      LeaseManager lease,
      RecordStore store,
      ClientFactory clients,
      BiConsumer<InstanceId, LinkFrame> peers) {
    return boot.cloud()
        .filter(CloudSettings::reportsUsage)
        .map(
            cloud ->
                new UsageService(
                    boot, cloud, incarnation, loop, leaseClock, lease, store, clients, peers));
  }

  /** Starts to follow the lease. */
  public void start(ProcessMetrics metrics) {
    metrics.gauge(Metric.USAGE_REPORTED, coordinator::reportedCount);
    metrics.gauge(Metric.USAGE_LATE, coordinator::lateCount);
    metrics.gauge(Metric.USAGE_REPEATED, coordinator::repeatedCount);
    metrics.gauge(Metric.USAGE_UNDECIDED, coordinator::undecidedCount);
    loop.every(DutyCaller.TICK, this::tick);
  }

  private void tick() {
    long current = lease.isHeld() ? lease.term() : -1;
    if (current != term) {
      if (term >= 0) {
        coordinator.onLost();
      }
      term = current;
      if (term >= 0) {
        coordinator.onAcquired(term);
        reporter.onCoordinator(term, this::reportToSelf);
      }
    }
    reporter.tick();
    coordinator.tick();
  }

  private void reportToSelf(
      long reportTerm, long wallMillis, Map<Long, Map<AccountName, Long>> windows) {
    UsageSource source = new UsageSource(self, incarnation, windows);
    loop.execute(() -> coordinator.onReport(reportTerm, source, wallMillis));
  }

  /** Called when a coordinator in another process has attached to this one. */
  public void onAttach(long coordinatorTerm, Consumer<LinkFrame> link) {
    reporter.onCoordinator(
        coordinatorTerm,
        (reportTerm, wallMillis, windows) ->
            link.accept(
                LinkFrame.newBuilder()
                    .setUsageReport(
                        UsageReport.newBuilder()
                            .setTerm(reportTerm)
                            .setIncarnation(incarnation.value())
                            .setWallMillis(wallMillis)
                            .addAllWindows(ProtobufUsageCodec.windowMessages(windows)))
                    .build()));
  }

  /** Called with the coordinator's answer to a report. */
  public void onAck(UsageAck ack) {
    reporter.onAck(ack.getTerm(), ack.getClockOffsetMillis(), ack.getDecidedThrough());
  }

  /** Called with a report of a peer. */
  public void onReport(InstanceId peer, UsageReport report) {
    UsageSource source =
        new UsageSource(
            peer,
            new Incarnation(report.getIncarnation()),
            ProtobufUsageCodec.windows(report.getWindowsList()));
    if (report.getTerm() != term) {
      // The lease may have been acquired since the last tick.
      tick();
    }
    coordinator.onReport(report.getTerm(), source, report.getWallMillis());
  }

  @Override
  public void onStreamBegan(Optional<AccountName> account) {
    account.ifPresent(a -> counter.count(a, fleetClock.nowMillis()));
  }

  @Override
  public void onPlainAnswer(
      Optional<AccountName> account, ServiceName service, Duration sinceSent) {
    serviceTimes.onLatency(service, sinceSent);
    onUnanswered(account, service, sinceSent);
  }

  @Override
  public void onUnanswered(Optional<AccountName> account, ServiceName service, Duration sinceSent) {
    Duration now = fleetClock.monotonic().elapsed();
    Duration began = serviceTimes.beganAt(service, now.minus(sinceSent), now);
    account.ifPresent(a -> counter.count(a, fleetClock.atElapsed(began)));
  }

  @Override
  public void acknowledge(
      InstanceId gateway, long ackTerm, long offsetMillis, long decidedThrough) {
    UsageAck ack =
        UsageAck.newBuilder()
            .setTerm(ackTerm)
            .setClockOffsetMillis(offsetMillis)
            .setDecidedThrough(decidedThrough)
            .build();
    if (gateway.equals(self)) {
      loop.execute(() -> onAck(ack));
    } else {
      peers.accept(gateway, LinkFrame.newBuilder().setUsageAck(ack).build());
    }
  }

  @Override
  public void send(long number, long sentTerm, byte[] body) {
    RequestOptions options = RequestOptions.builder().responseTimeout(answerTimeout).build();
    api.execute(UsageJson.request(self, sentTerm, body), options)
        .aggregate()
        .whenComplete(
            Callbacks.reported(
                (response, failure) -> {
                  DutyAnswer answer =
                      failure == null
                          ? UsageJson.answer(response.status().code())
                          : DutyAnswer.NONE;
                  loop.execute(() -> coordinator.onAnswer(number, answer));
                }));
  }

  @Override
  public void onDeciding(long window, int accounts, long requests) {
    EventLog.info(
        LogEvent.USAGE_DECIDED, "window", window, "accounts", accounts, "requests", requests);
  }

  @Override
  public void onReported(long window, int attempts, boolean late) {
    EventLog.info(LogEvent.USAGE_REPORTED, "window", window, "attempts", attempts, "late", late);
  }

  @Override
  public void onReportUnanswered(long window, int attempts) {
    EventLog.warn(LogEvent.USAGE_UNANSWERED, "window", window, "attempts", attempts);
  }

  @Override
  public void onFenced(long fencedTerm) {
    EventLog.warn(LogEvent.USAGE_FENCED, "term", fencedTerm);
  }

  @Override
  public String name() {
    return "usage";
  }

  @Override
  public Object state() {
    return new State(
        coordinator.callState().name(),
        coordinator.decidedThrough(),
        coordinator.undecidedCount(),
        coordinator.reportedCount(),
        coordinator.lateCount(),
        coordinator.repeatedCount(),
        counter.windowCount(),
        counter.missedCount());
  }
}
