package org.carobhoist.server.sidecar;

import com.linecorp.armeria.server.Server;
import com.linecorp.armeria.server.ServerBuilder;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import org.carobhoist.core.common.Clock;
import org.carobhoist.core.common.EndpointKind;
import org.carobhoist.core.common.Incarnation;
import org.carobhoist.core.common.ProfileName;
import org.carobhoist.core.common.WeightVersion;
import org.carobhoist.core.limit.AdmissionQueue;
import org.carobhoist.core.limit.TenantPolicy;
import org.carobhoist.core.membership.EndpointAnnouncement;
import org.carobhoist.core.membership.EndpointPhase;
import org.carobhoist.core.profile.ConfigSyncPolicy;
import org.carobhoist.core.profile.Profile;
import org.carobhoist.server.link.Link;
import org.carobhoist.server.link.LinkListener;
import org.carobhoist.server.link.LinkNetwork;
import org.carobhoist.server.link.proto.Hello;
import org.carobhoist.server.link.proto.LinkFrame;
import org.carobhoist.server.log.EventLog;
import org.carobhoist.server.log.LogEvent;
import org.carobhoist.server.logservice.ConfigFollower;
import org.carobhoist.server.logservice.HttpPlatform;
import org.carobhoist.server.metrics.Metric;
import org.carobhoist.server.metrics.ProcessMetrics;
import org.carobhoist.server.runtime.DecisionLoop;
import org.carobhoist.server.runtime.Service;
import org.carobhoist.server.runtime.SystemClock;
import org.carobhoist.server.settings.SidecarSettings;
import org.carobhoist.server.state.AdminRoutes;
import org.carobhoist.server.state.ProfilesState;
import org.carobhoist.server.state.StateDump;
import org.carobhoist.server.state.StateSource;

/** The sidecar role: a proxy through which all of the system's traffic to one endpoint passes. */
public final class SidecarService implements Service {

  private static final Duration TICK_INTERVAL = Duration.ofMillis(100);

  private final SidecarSettings settings;
  private final Incarnation incarnation = new Incarnation(UUID.randomUUID().toString());
  private final Clock clock = SystemClock.create();
  private final DecisionLoop loop = DecisionLoop.create("sidecar");
  private final AdmissionQueue queue;
  private final IdempotencyKeyHome keyHome;
  private final CallWorker calls;
  private final SampleWorker samples;
  private final LinkNetwork network;
  private final ConfigFollower config;
  private final Optional<SwapWorker> swap;
  private final EndpointSupervisor supervisor;
  private final ProcessMetrics metrics = ProcessMetrics.create(loop);
  private Server http;

  /** State dump of the endpoint's admission. */
  public record State(
      String service, String phase, int running, int queued, int limit, int calls, int held) {}

  private SidecarService(SidecarSettings settings) {
    this.settings = settings;
    this.queue = AdmissionQueue.create(settings.limits(), clock);
    EndpointClient endpoint = EndpointClient.at(settings.endpoint().url(), loop);
    TicketIds ticketIds = new TicketIds();
    EndpointKind kind = settings.endpoint().kind();
    HttpPlatform platform = HttpPlatform.at(settings.instance().platform());
    this.keyHome = IdempotencyKeyHome.create(settings, incarnation, clock, platform);
    KeyedCallWorker keyedCalls =
        new KeyedCallWorker(keyHome.gate(), keyHome.table(), queue, endpoint, clock, ticketIds);
    this.calls = new CallWorker(queue, endpoint, kind, clock, ticketIds, keyedCalls);
    this.samples =
        new SampleWorker(queue, endpoint, settings.endpoint().service(), ticketIds, clock, loop);
    this.network = LinkNetwork.create(settings.instance().link(), hello(), new LinkHandler());
    this.config = ConfigFollower.create(platform, loop, ConfigSyncPolicy.ofSidecar());
    this.supervisor =
        new EndpointSupervisor(
            settings.instance().id(), loop, clock, queue, endpoint, platform, this::announcement);
    queue.setTenantPolicies(this::tenantPolicy);
    this.swap =
        kind == EndpointKind.ENGINE
            ? Optional.of(swapWorker(endpoint, platform))
            : Optional.empty();
    swap.ifPresent(config::addRecordListener);
    addGauges();
  }

  /** Returns a sidecar that hasn't started. */
  public static SidecarService create(SidecarSettings settings) {
    return new SidecarService(settings);
  }

  private void addGauges() {
    metrics.gauge(Metric.LINKS, supervisor::links);
    metrics.gauge(Metric.CALLS, calls::size);
    metrics.gauge(Metric.RUNNING, queue::running);
    metrics.gauge(Metric.QUEUED, queue::queued);
    metrics.gauge(Metric.LIMIT, queue::limit);
    metrics.gauge(Metric.SAMPLES_HELD, samples::held);
    metrics.gauge(Metric.REVISION, () -> config.fold().revision().offset());
  }

  @Override
  public CompletableFuture<Void> start() {
    metrics.start();
    swap.ifPresent(worker -> loop.execute(worker::start));
    loop.every(TICK_INTERVAL, this::tick);
    config.addLogReadListener(keyHome.listener(loop));
    config.start();
    http = httpServer();
    return supervisor
        .start()
        .thenCompose(ok -> network.start())
        .thenCompose(ok -> http.start())
        .thenRun(this::logStarted);
  }

  /** Drains as the state chart {@code drain} specifies, then stops. */
  @Override
  public CompletableFuture<Void> stop() {
    EventLog.info(LogEvent.STOPPING, "instance", settings.instance().id());
    loop.execute(keyHome::leave);
    return supervisor
        .stop()
        .thenCompose(ok -> network.stop())
        .thenCompose(ok -> http.stop())
        .thenCompose(ok -> loop.stop());
  }

  private SwapWorker swapWorker(EndpointClient endpoint, HttpPlatform platform) {
    return new SwapWorker(
        settings.instance().id(),
        settings.endpoint().service(),
        endpoint,
        platform,
        platform,
        loop,
        clock,
        () -> supervisor().announce());
  }

  private Hello hello() {
    return Hello.newBuilder()
        .setInstance(settings.instance().id().value())
        .setZone(settings.instance().zone().value())
        .setRole("sidecar")
        .setIncarnation(incarnation.value())
        .build();
  }

  private Server httpServer() {
    StateDump dump = StateDump.of(loop, sources());
    ServerBuilder sb = Server.builder();
    sb.http(
        new InetSocketAddress(
            settings.instance().http().host(), settings.instance().http().port()));
    AdminRoutes.create(config::isReady, metrics, dump).addTo(sb);
    return sb.build();
  }

  private List<StateSource> sources() {
    List<StateSource> sources =
        new ArrayList<>(
            List.of(new EndpointState(), keyHome, config, ProfilesState.of(config.fold())));
    swap.ifPresent(sources::add);
    return sources;
  }

  private void logStarted() {
    EventLog.info(
        LogEvent.STARTED,
        "role",
        "sidecar",
        "instance",
        settings.instance().id(),
        "incarnation",
        incarnation);
  }

  private EndpointSupervisor supervisor() {
    return supervisor;
  }

  /**
   * Returns the share that a tenant's profile grants it. The tenant is the profile's name,
   * optionally followed by a space and a trainer.
   */
  private TenantPolicy tenantPolicy(String tenant) {
    ProfileName profile = new ProfileName(tenant.split(" ", 2)[0]);
    return config.fold().profile(profile).map(Profile::share).orElse(TenantPolicy.DEFAULT);
  }

  private void tick() {
    queue.expire();
    swap.ifPresent(SwapWorker::tick);
    calls.tick();
    keyHome.tick();
    supervisor.tick();
  }

  private EndpointAnnouncement announcement(long number) {
    return new EndpointAnnouncement(
        settings.instance().id(),
        incarnation,
        settings.instance().zone(),
        settings.endpoint().service(),
        settings.endpoint().kind(),
        announcedPhase(),
        queue.running(),
        queue.queued(),
        queue.limit(),
        swap.map(SwapWorker::served).orElse(new WeightVersion(0)),
        number);
  }

  private EndpointPhase announcedPhase() {
    boolean serving = swap.map(SwapWorker::isInRotation).orElse(true);
    EndpointPhase phase = supervisor.phase();
    return phase == EndpointPhase.SERVING && !serving ? EndpointPhase.DOWN : phase;
  }

  private void onFrame(Link link, LinkFrame frame) {
    if (supervisor.onFrame(link, frame)) {
      return;
    }
    switch (frame.getBodyCase()) {
      case CALL_START -> calls.onStart(link, frame.getCallStart());
      case CALL_CANCEL -> calls.onCancel(link, frame.getCallCancel());
      case SAMPLE_START -> samples.onStart(link, frame.getSampleStart());
      case SAMPLE_CANCEL -> samples.onCancel(frame.getSampleCancel());
      case HELD_QUERY -> samples.onQuery(link, frame.getHeldQuery());
      case PEER_DIGEST, PEER_RECORDS -> config.onFrame(link, frame);
      case STEP_ACK -> samples.onAck(frame.getStepAck());
      default -> EventLog.warn(LogEvent.FRAME_DROPPED, "kind", frame.getBodyCase());
    }
  }

  private final class EndpointState implements StateSource {

    @Override
    public String name() {
      return "endpoint";
    }

    @Override
    public Object state() {
      return new State(
          settings.endpoint().service().value(),
          supervisor.state().name(),
          queue.running(),
          queue.queued(),
          queue.limit(),
          calls.size(),
          samples.held());
    }
  }

  private final class LinkHandler implements LinkListener {

    @Override
    public void onUp(Link link) {
      loop.execute(
          () -> {
            supervisor.onLinkUp(link);
            config.onLinkUp(link);
          });
    }

    @Override
    public void onFrame(Link link, LinkFrame frame) {
      loop.execute(() -> SidecarService.this.onFrame(link, frame));
    }

    @Override
    public void onDown(Link link) {
      loop.execute(
          () -> {
            supervisor.onLinkDown(link);
            config.onLinkDown(link);
            calls.onLinkDown(link);
            samples.onLinkDown(link);
          });
    }
  }
}
