package org.carobhoist.server.entry;

import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.server.Server;
import com.linecorp.armeria.server.ServerBuilder;
import java.net.InetSocketAddress;
import java.security.SecureRandom;
import java.time.Duration;
import java.util.List;
import java.util.SplittableRandom;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import org.carobhoist.core.common.Clock;
import org.carobhoist.core.common.Incarnation;
import org.carobhoist.core.common.InstanceId;
import org.carobhoist.core.common.Refusal;
import org.carobhoist.core.common.RefusalReason;
import org.carobhoist.core.common.RequestId;
import org.carobhoist.core.profile.ConfigSyncPolicy;
import org.carobhoist.core.request.DrainDeadline;
import org.carobhoist.core.request.RetryBudget;
import org.carobhoist.core.routing.Router;
import org.carobhoist.core.routing.RouterPolicy;
import org.carobhoist.server.link.Link;
import org.carobhoist.server.link.LinkListener;
import org.carobhoist.server.link.LinkNetwork;
import org.carobhoist.server.link.proto.Hello;
import org.carobhoist.server.link.proto.LinkFrame;
import org.carobhoist.server.link.proto.Ping;
import org.carobhoist.server.link.proto.Pong;
import org.carobhoist.server.log.EventLog;
import org.carobhoist.server.log.LogEvent;
import org.carobhoist.server.logservice.ConfigFollower;
import org.carobhoist.server.logservice.HttpPlatform;
import org.carobhoist.server.metrics.Metric;
import org.carobhoist.server.metrics.ProcessMetrics;
import org.carobhoist.server.metrics.RequestMetrics;
import org.carobhoist.server.runtime.DecisionLoop;
import org.carobhoist.server.runtime.RequestTracker;
import org.carobhoist.server.runtime.Service;
import org.carobhoist.server.runtime.SystemClock;
import org.carobhoist.server.settings.EntrySettings;
import org.carobhoist.server.settings.InstanceSettings;
import org.carobhoist.server.state.AdminRoutes;
import org.carobhoist.server.state.ProfilesState;
import org.carobhoist.server.state.StateDump;
import org.carobhoist.server.state.StateSource;

/** The entry role: serves the requests of callers and trainers. It has no durable state. */
public final class EntryService implements Service {

  private static final double RETRIES_PER_REQUEST = 0.1;
  private static final double RETRY_BURST = 20;

  /** Time for the load balancer to notice that this instance is no longer ready. */
  private static final Duration READINESS_NOTICE_TIME = Duration.ofSeconds(2);

  private static final Duration DRAIN_LIMIT = Duration.ofMinutes(2);

  /** Time for the responses to requests accepted just before the entry began to refuse them. */
  private static final Duration LAST_RESPONSES_TIME_LIMIT = Duration.ofSeconds(5);

  /** Refusal of requests that this entry, which drains, might not answer before it ends. */
  static final Refusal DRAINING =
      Refusal.notRun(RefusalReason.DRAINING, "the entry stops; another one serves");

  private final InstanceSettings settings;
  private final Duration drainLimit;
  private final Incarnation incarnation = new Incarnation(UUID.randomUUID().toString());
  private final DecisionLoop loop = DecisionLoop.create("entry");
  private final ConfigFollower config;
  private final LinkNetwork network;
  private final CallContext context;
  private final StepTable steps;
  private final WeightRoutes weights;
  private final ProcessMetrics metrics = ProcessMetrics.create(loop);
  private final RequestTracker tracker = RequestTracker.create(() -> this.draining, r -> refuse());
  private volatile boolean draining;
  private Server http;

  /** The number of links, calls, steps and samples in flight, written as JSON. */
  public record State(int links, int calls, int steps, int samplesInFlight, double retryTokens) {}

  private EntryService(EntrySettings settings, Duration drainLimit) {
    this.settings = settings.instance();
    this.drainLimit = drainLimit;
    HttpPlatform platform = HttpPlatform.at(this.settings.platform());
    SplittableRandom random = new SplittableRandom();
    this.config = ConfigFollower.create(platform, loop, ConfigSyncPolicy.ofEntry());
    this.network = LinkNetwork.create(this.settings.link(), hello(), new LoopLinkListener());
    Clock clock = SystemClock.create();
    LinkPool links =
        new LinkPool(
            this.settings.id(), this.settings.zone(), loop, clock, platform, random.split());
    this.context =
        new CallContext(
            loop,
            clock,
            this.settings.zone(),
            links,
            new CallTable(),
            Router.create(random, clock, RouterPolicy.DEFAULT),
            RetryBudget.create(RETRIES_PER_REQUEST, RETRY_BURST),
            new KeyRouter(clock, links, platform, new SecureRandom()),
            RequestMetrics.create(
                metrics, service -> !links.directory().viewsOf(service).isEmpty()),
            DrainDeadline.create(clock));
    this.weights = new WeightRoutes(platform, loop, RequestBodies.create(loop, context.drain()));
    config.addRecordListener(weights);
    this.steps = new StepTable(context, random.split(), config.fold()::profileOrLast);
    addGauges();
  }

  /** Creates an entry; {@link #start} starts it. */
  public static EntryService create(EntrySettings settings) {
    return create(settings, DRAIN_LIMIT);
  }

  /** Creates an entry that waits for the requests in flight for a given time when it stops. */
  static EntryService create(EntrySettings settings, Duration drainLimit) {
    return new EntryService(settings, drainLimit);
  }

  private void addGauges() {
    metrics.gauge(Metric.LINKS, () -> context.links().linkedInstances().size());
    metrics.gauge(Metric.CALLS, context.callTable()::size);
    metrics.gauge(Metric.STEPS, steps::size);
    metrics.gauge(Metric.SAMPLES_IN_FLIGHT, steps::samplesInFlight);
    metrics.gauge(Metric.REVISION, () -> config.fold().revision().offset());
  }

  @Override
  public CompletableFuture<Void> start() {
    metrics.start();
    config.addLogReadListener(context.keyRouter().listener(loop));
    config.start();
    steps.start();
    http = httpServer();
    return network
        .start()
        .thenRun(() -> context.links().start(network))
        .thenCompose(ok -> http.start())
        .thenRun(this::logStarted);
  }

  /**
   * Shuts down gracefully: reports that it is not ready, waits until the load balancer has noticed,
   * waits for the requests in flight, then stops. Requests that arrive while it drains are served
   * if they are certain to end before it does, and their connections are closed after the response.
   * Others, and those that arrive at the very end, are refused, because stopping the HTTP server
   * would break them off. Requests without a response at the end get one from this entry.
   */
  @Override
  public CompletableFuture<Void> stop() {
    EventLog.info(LogEvent.STOPPING, "instance", settings.id());
    draining = true;
    CompletableFuture<Void> balancerNoticed = new CompletableFuture<>();
    loop.after(READINESS_NOTICE_TIME, () -> balancerNoticed.complete(null));
    return balancerNoticed
        .thenRun(() -> context.drain().startIn(drainLimit.plus(LAST_RESPONSES_TIME_LIMIT)))
        .thenCompose(ok -> tracker.awaitIdle(loop, context.clock(), drainLimit, () -> true))
        .thenRun(tracker::refuseNewRequests)
        .thenCompose(ok -> awaitLastResponses())
        .thenRun(context.drain()::answerOpenRequests)
        .thenCompose(ok -> awaitLastResponses())
        .thenCompose(ok -> http.stop())
        .thenCompose(ok -> network.stop())
        .thenCompose(ok -> loop.stop());
  }

  private CompletableFuture<Void> awaitLastResponses() {
    return tracker.awaitIdle(loop, context.clock(), LAST_RESPONSES_TIME_LIMIT, () -> true);
  }

  private Hello hello() {
    return Hello.newBuilder()
        .setInstance(settings.id().value())
        .setZone(settings.zone().value())
        .setRole("entry")
        .setIncarnation(incarnation.value())
        .build();
  }

  private Server httpServer() {
    ServerBuilder sb = Server.builder();
    sb.http(new InetSocketAddress(settings.http().host(), settings.http().port()));
    sb.requestTimeoutMillis(0);
    sb.decorator(tracker::serve);
    StateDump dump =
        StateDump.of(
            loop,
            List.of(
                new WorkState(),
                new EndpointsState(context.links()),
                config,
                ProfilesState.of(config.fold())));
    AdminRoutes.create(this::isReady, metrics, dump).addTo(sb);
    new CallRoutes(context, config.fold(), config::isReady).addTo(sb);
    weights.addTo(sb);
    new KeyRoutes(context).addTo(sb);
    new StepRoutes(context, config.fold(), config::isReady, steps).addTo(sb);
    return sb.build();
  }

  private static HttpResponse refuse() {
    return Problems.response(new RequestId(UUID.randomUUID().toString()), DRAINING);
  }

  private boolean isReady() {
    return config.isReady() && !draining;
  }

  private void logStarted() {
    EventLog.info(
        LogEvent.STARTED, "role", "entry", "instance", settings.id(), "incarnation", incarnation);
  }

  private void onFrame(Link link, LinkFrame frame) {
    InstanceId from = LinkPool.peerId(link);
    context.links().onReceived(link);
    switch (frame.getBodyCase()) {
      case ANNOUNCEMENT -> context.links().onAnnouncement(link, frame);
      case PING -> link.send(pong(frame.getPing()));
      case PONG -> {}
      case PEER_DIGEST, PEER_RECORDS -> config.onFrame(link, frame);
      default -> dispatch(from, frame);
    }
  }

  private static LinkFrame pong(Ping ping) {
    return LinkFrame.newBuilder().setPong(Pong.newBuilder().setNonce(ping.getNonce())).build();
  }

  private void dispatch(InstanceId from, LinkFrame frame) {
    if (frame.getCallEnd().getInFlight() > 0) {
      context.links().directory().onLoad(from, frame.getCallEnd().getInFlight());
    }
    if (!context.callTable().dispatch(from, frame) && !steps.dispatch(from, frame)) {
      EventLog.info(LogEvent.FRAME_DROPPED, "peer", from, "kind", frame.getBodyCase());
    }
  }

  private void onUp(Link link) {
    context.links().onUp(link).ifPresent(this::onLinkLost);
    steps.onLinkUp(LinkPool.peerId(link));
    config.onLinkUp(link);
  }

  private void onDown(Link link) {
    config.onLinkDown(link);
    context.links().onDown(link).ifPresent(this::onLinkLost);
  }

  private void onLinkLost(InstanceId endpoint) {
    context.callTable().onLinkLost(endpoint);
    steps.onLinkLost(endpoint);
  }

  private final class WorkState implements StateSource {

    @Override
    public String name() {
      return "work";
    }

    @Override
    public Object state() {
      return new State(
          context.links().linkedInstances().size(),
          context.callTable().size(),
          steps.size(),
          steps.samplesInFlight(),
          context.budget().tokens());
    }
  }

  private final class LoopLinkListener implements LinkListener {

    @Override
    public void onUp(Link link) {
      loop.execute(() -> EntryService.this.onUp(link));
    }

    @Override
    public void onFrame(Link link, LinkFrame frame) {
      loop.execute(() -> EntryService.this.onFrame(link, frame));
    }

    @Override
    public void onDown(Link link) {
      loop.execute(() -> EntryService.this.onDown(link));
    }
  }
}
