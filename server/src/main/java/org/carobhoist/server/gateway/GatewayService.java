package org.carobhoist.server.gateway;

import com.google.protobuf.InvalidProtocolBufferException;
import com.linecorp.armeria.client.ClientFactory;
import com.linecorp.armeria.client.ClientFactoryBuilder;
import com.linecorp.armeria.client.ClientFactoryOptions;
import com.linecorp.armeria.common.HttpRequest;
import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.util.EventLoopGroups;
import com.linecorp.armeria.server.Server;
import io.netty.channel.EventLoopGroup;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.carobhoist.core.capacity.CapacityPolicy;
import org.carobhoist.core.capacity.CapacityTable;
import org.carobhoist.core.common.Clock;
import org.carobhoist.core.common.Incarnation;
import org.carobhoist.core.common.InstanceId;
import org.carobhoist.core.job.JobRecordCodec;
import org.carobhoist.core.job.JobView;
import org.carobhoist.core.job.ResultEntries;
import org.carobhoist.core.lease.LeaseManager;
import org.carobhoist.core.lease.LeasePolicy;
import org.carobhoist.core.manifest.Limits;
import org.carobhoist.core.manifest.ManifestHolder;
import org.carobhoist.core.membership.EndpointDirectory;
import org.carobhoist.core.membership.RegisteredServers;
import org.carobhoist.core.request.CarriedRequestIds;
import org.carobhoist.core.request.ConnectionReusePolicy;
import org.carobhoist.core.request.DrainDeadline;
import org.carobhoist.core.request.RetryBudget;
import org.carobhoist.core.reward.RewardCallScheduler;
import org.carobhoist.core.reward.RewardPolicy;
import org.carobhoist.core.routing.Router;
import org.carobhoist.core.routing.RouterPolicy;
import org.carobhoist.core.settings.SocketAddressText;
import org.carobhoist.core.store.RecordStore;
import org.carobhoist.core.store.Shard;
import org.carobhoist.core.store.ShardTailer;
import org.carobhoist.core.store.StoredRecord;
import org.carobhoist.core.store.TailListener;
import org.carobhoist.platform.BootSettings;
import org.carobhoist.platform.CallHeaders;
import org.carobhoist.platform.DirectTransport;
import org.carobhoist.platform.HttpRecordStore;
import org.carobhoist.platform.JobJson;
import org.carobhoist.platform.ServerEntryJson;
import org.carobhoist.platform.StoreCall;
import org.carobhoist.server.gateway.capacity.CapacityExchange;
import org.carobhoist.server.gateway.capacity.CapacityMonitor;
import org.carobhoist.server.gateway.coordination.CoordinatorRole;
import org.carobhoist.server.gateway.coordination.EngineEnvironment;
import org.carobhoist.server.gateway.coordination.EngineWeightManager;
import org.carobhoist.server.gateway.coordination.ProtobufLeaseCodec;
import org.carobhoist.server.gateway.ingress.ClientLimits;
import org.carobhoist.server.gateway.ingress.ConnectionOptionHandler;
import org.carobhoist.server.gateway.ingress.ForwardContext;
import org.carobhoist.server.gateway.ingress.IngressRoutes;
import org.carobhoist.server.gateway.job.CheckpointStore;
import org.carobhoist.server.gateway.job.CompletedTextPublisher;
import org.carobhoist.server.gateway.job.ItemRunner;
import org.carobhoist.server.gateway.job.JobRequestHandler;
import org.carobhoist.server.gateway.job.ProtobufJobRecordCodec;
import org.carobhoist.server.gateway.job.ResultPublisher;
import org.carobhoist.server.gateway.job.RewardCallSender;
import org.carobhoist.server.gateway.peer.NodeRegistration;
import org.carobhoist.server.gateway.peer.PeerLinkHandler;
import org.carobhoist.server.gateway.peer.PeerMesh;
import org.carobhoist.server.gateway.store.FailoverStoreTransport;
import org.carobhoist.server.gateway.store.LoggingTailListener;
import org.carobhoist.server.gateway.store.OperatorRecordListener;
import org.carobhoist.server.gateway.store.ServerChangeListener;
import org.carobhoist.server.gateway.store.Topics;
import org.carobhoist.server.gateway.upstream.OutOfStepListener;
import org.carobhoist.server.gateway.upstream.UpstreamClients;
import org.carobhoist.server.gateway.upstream.UpstreamPipeline;
import org.carobhoist.server.gateway.usage.UsageRecorder;
import org.carobhoist.server.gateway.usage.UsageService;
import org.carobhoist.server.link.LinkNetwork;
import org.carobhoist.server.link.proto.Hello;
import org.carobhoist.server.link.proto.LinkFrame;
import org.carobhoist.server.log.EventLog;
import org.carobhoist.server.log.LogEvent;
import org.carobhoist.server.log.QueueWriter;
import org.carobhoist.server.metrics.Metric;
import org.carobhoist.server.metrics.ProcessMetrics;
import org.carobhoist.server.metrics.RequestMetrics;
import org.carobhoist.server.runtime.DecisionLoop;
import org.carobhoist.server.runtime.RequestTracker;
import org.carobhoist.server.runtime.Service;
import org.carobhoist.server.runtime.SuspendAwareClock;
import org.carobhoist.server.state.AdminRoutes;
import org.carobhoist.server.state.StateDump;
import org.carobhoist.server.state.StateSource;

/**
 * The gateway role: serves clients, runs items of jobs, and coordinates jobs while it holds the
 * lease. All I/O and all decisions run on one thread; durable state is kept in the platform's
 * store.
 */
public final class GatewayService implements Service {

  private static final double RETRIES_PER_REQUEST = 0.3;
  private static final double RETRY_BURST = 40;

  /** Time for which a read of a shard waits for new records. */
  private static final Duration READ_WAIT = Duration.ofSeconds(1);

  /** Shorter read wait for the lease shard, so that missing renewals are detected in time. */
  private static final Duration LEASE_READ_WAIT = Duration.ofMillis(400);

  /**
   * Number of pauses between reads of the registry that fit into the drain time of a server. Each
   * server rewrites its entry about once a second, mostly without a change, so the reads are
   * batched.
   */
  private static final int REGISTRY_PAUSES_PER_DRAIN = 5;

  /** CPU that a coordinator should have; with 35 engines it uses up to 0.22 cores. */
  private static final int COORDINATOR_MILLI_CORES = 600;

  /**
   * Time that instances with less CPU wait before they acquire a vacant lease, so that others get
   * it first; acquiring it takes about 20 ms.
   */
  private static final Duration LEASE_ACQUISITION_DELAY = Duration.ofMillis(600);

  /** Pause between reads of the gateways' own records, which are written in bursts. */
  private static final Duration NODE_READ_PAUSE = Duration.ofMillis(200);

  /**
   * Pause between reads of a job shard for which no reader waits. What one process has returned
   * must be visible in all processes within 1 s.
   */
  private static final Duration JOB_READ_PAUSE = Duration.ofMillis(250);

  /** Timeout of a store call; the store answers in 4 ms, or in about 250 ms when it is slow. */
  private static final Duration STORE_TIMEOUT = Duration.ofMillis(700);

  /**
   * Timeout for a page of newest records. When all processes of a fleet start together, dozens of
   * pages share the read throughput of the store. A page that times out is wasted work: it puts the
   * same load on the store as one that is delivered.
   */
  private static final Duration PAGE_TIMEOUT = Duration.ofSeconds(5);

  /** Timeout for a new connection; the farthest server is about 10 ms away. */
  private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(400);

  /** Idle timeout of connections to servers; servers also close idle connections themselves. */
  private static final Duration SERVER_IDLE_TIME = Duration.ofSeconds(30);

  /** Limits the memory for the ids that a connection has carried, of about 200 bytes each. */
  private static final int MAX_REQUESTS_PER_CONNECTION = 1_000;

  /** Idle timeout of client connections, longer than any manifest requires. */
  private static final Duration CLIENT_IDLE_TIME = Duration.ofMinutes(10);

  /** Fraction of the drain time for which a server is used after its registry entry disappears. */
  private static final double SERVER_REMOVAL_DELAY_FRACTION = 0.6;

  /** Time until the platform has noticed that this process is no longer ready. */
  private static final Duration READINESS_NOTICE_TIME = Duration.ofMillis(2_300);

  /** Time allowed for the deletion of this process's record from the store. */
  private static final Duration RECORD_DELETION_TIME = Duration.ofMillis(200);

  private static final int UNAVAILABLE = 503;

  /** Time for forwarded requests to finish after new ones are refused. */
  private static final Duration LAST_RESPONSES_TIME = Duration.ofMillis(900);

  /** Part of the grace period that is reserved for the last steps of the shutdown. */
  private static final Duration SHUTDOWN_RESERVE = Duration.ofMillis(1_600);

  /** Interval between two updates of the gauges of endpoints. */
  private static final Duration CAPACITY_GAUGE_PERIOD = Duration.ofSeconds(2);

  private final BootSettings boot;
  private final Incarnation incarnation = new Incarnation(UUID.randomUUID().toString());
  private final EventLoopGroup thread = EventLoopGroups.newEventLoopGroup(1, "gateway");
  private final DecisionLoop loop = DecisionLoop.on(thread.next());
  private final Clock clock = SuspendAwareClock.create();
  private final CarriedRequestIds carriedIds = CarriedRequestIds.create();
  private final ConnectionReusePolicy connectionReuse =
      ConnectionReusePolicy.create(clock, SERVER_IDLE_TIME);
  private final ClientFactory clients =
      clientFactory(this::onOutOfStep)
          .maxNumRequestsPerConnection(MAX_REQUESTS_PER_CONNECTION)
          .build();
  private final ClientFactory singleUseClients =
      clientFactory(this::onOutOfStep).maxNumRequestsPerConnection(1).build();
  private final ClientFactory storeClients =
      clientFactory(address -> {}).maxNumRequestsPerConnection(MAX_REQUESTS_PER_CONNECTION).build();
  private final ManifestHolder manifests = ManifestHolder.create();
  private final EndpointDirectory directory = EndpointDirectory.create();
  private final JobRecordCodec codec = new ProtobufJobRecordCodec();
  private final CapacityTable capacities = CapacityTable.create(CapacityPolicy.DEFAULT, clock);
  private final ProcessMetrics metrics = ProcessMetrics.create(loop);
  private final ClientLimits limits = ClientLimits.create(loop, clock, manifests);
  private final DrainDeadline drainDeadline = DrainDeadline.create(clock);
  private final RequestTracker traffic =
      RequestTracker.create(() -> this.draining, GatewayService::refuse);
  private final UpstreamClients upstreams =
      new UpstreamClients(clients, singleUseClients, carriedIds, connectionReuse);
  private final List<ShardTailer> tails = new ArrayList<>();
  private final List<ShardTailer> jobTails = new ArrayList<>();
  private final PeerMesh mesh;
  private final FailoverStoreTransport storeTransport;
  private final RecordStore store;
  private final NodeRegistration registration;
  private final RegisteredServers servers;
  private final JobView view;
  private final ForwardContext context;
  private final RewardCallScheduler rewards;
  private final ItemRunner runner;
  private final CoordinatorRole coordinator;
  private final JobRequestHandler jobs;
  private final EngineWeightManager weights;
  private final LeaseManager lease;
  private final ShardTailer operatorTail;
  private final CapacityExchange capacityExchange;
  private final Optional<UsageService> usage;
  private final LinkNetwork network;
  private final Server http;
  private final Server admin;
  private volatile boolean draining;

  /** Content of the state dump of this process. */
  public record State(
      long manifest,
      int servers,
      int jobs,
      int runs,
      boolean coordinates,
      long term,
      boolean storeReachable,
      int resultsWaiting,
      List<String> peers) {}

  private GatewayService(BootSettings boot) {
    this.boot = boot;
    this.mesh = new PeerMesh(boot.node(), loop, clock, new MeshListener());
    List<StoreCall> probes =
        List.of(
            HttpRecordStore.probe(Topics.LEASE),
            HttpRecordStore.probe(Topics.NODES),
            HttpRecordStore.probe(Topics.OPERATORS));
    this.storeTransport =
        new FailoverStoreTransport(
            DirectTransport.to(boot.storeAddress(), storeClients),
            mesh::relayTransports,
            probes,
            loop,
            clock);
    this.store = HttpRecordStore.over(storeTransport, STORE_TIMEOUT, PAGE_TIMEOUT);
    this.registration = new NodeRegistration(store, loop, () -> this.draining);
    this.servers =
        RegisteredServers.create(
            directory,
            ServerEntryJson::decode,
            new ServerChangeListener(this::onServerGone),
            loop,
            Duration.ofMillis(
                (long) (boot.bounds().drain().toMillis() * SERVER_REMOVAL_DELAY_FRACTION)));
    this.view = JobView.create(codec, JobJson::decode, Topics.JOB_SHARDS);
    for (Shard shard : Topics.jobs()) {
      jobTails.add(
          tail(
              shard,
              view.shardListener(shard.part()),
              READ_WAIT,
              () -> jobReadPause(shard.part())));
    }
    ResultEntries entries =
        ResultEntries.create(
            store, Topics.entries(), loop, clock, ResultPublisher::logRead, incarnation.value());
    final ResultPublisher publisher =
        new ResultPublisher(store, jobTails, view, codec, entries, loop);
    this.context = forwardContext();
    RewardCallSender rewardCallSender = new RewardCallSender(context, manifests);
    this.rewards =
        RewardCallScheduler.create(
            rewardCallSender, RewardPolicy.DEFAULT, clock, loop, new SplittableRandom());
    rewardCallSender.setRewardCalls(rewards);
    CompletedTextPublisher completedTexts = new CompletedTextPublisher(rewards, publisher);
    this.runner = new ItemRunner(loop, clock, upstreams, servers, completedTexts);
    this.coordinator =
        new CoordinatorRole(
            boot.node(),
            boot.zone(),
            boot.milliCores(),
            loop,
            clock,
            manifests,
            servers,
            view,
            mesh,
            runner,
            publisher,
            completedTexts,
            new CheckpointStore(store),
            limits.budget(),
            boot.bounds().resultRetention());
    this.jobs =
        new JobRequestHandler(
            store,
            view,
            jobTails,
            codec,
            publisher,
            loop,
            clock,
            boot.bounds().visibilityDelay(),
            boot.storeCallBytes(),
            runner::runEarly);
    view.addListener(coordinator);
    view.addListener(jobs);
    view.addListener(completedTexts);
    this.lease =
        LeaseManager.create(
            boot.node(),
            incarnation,
            store,
            new ProtobufLeaseCodec(),
            coordinator,
            LeasePolicy.of(boot.bounds().orderGap()).withAcquisitionDelay(leaseAcquisitionDelay()),
            clock,
            entry -> mesh.hasEnded(entry.holder(), entry.incarnation()));
    lease.setSuspicion(entry -> mesh.seemsEnded(entry.holder(), entry.incarnation()));
    ShardTailer leaseTail = tail(Topics.LEASE, lease, LEASE_READ_WAIT);
    lease.setTail(leaseTail);
    // A coordinator cancels the runs of jobs that it doesn't know, so it must have read all jobs.
    lease.setAcquireCondition(() -> jobTails.stream().allMatch(ShardTailer::isLoaded));
    this.weights =
        new EngineWeightManager(
            boot.node(),
            loop,
            clock,
            upstreams,
            lease,
            new EngineEnvironment(coordinator.jobs(), leaseTail, servers));
    this.operatorTail =
        tail(
            Topics.OPERATORS,
            new OperatorRecordListener(manifests, weights::onVersionSet),
            READ_WAIT);
    Duration registryReadPause = boot.bounds().drain().dividedBy(REGISTRY_PAUSES_PER_DRAIN);
    tail(Topics.SERVERS, servers, READ_WAIT, () -> registryReadPause);
    tail(Topics.NODES, mesh, READ_WAIT, () -> NODE_READ_PAUSE);
    this.capacityExchange =
        new CapacityExchange(boot.node(), clock, capacities, directory, new CapacityCoordination());
    this.usage =
        UsageService.create(boot, incarnation, loop, clock, lease, store, storeClients, mesh::send);
    this.network =
        LinkNetwork.create(
            addressText(boot.peerAddress()),
            hello(),
            new PeerLinkHandler(loop, mesh, runner, storeTransport, capacityExchange, usage),
            thread);
    this.http = httpServer();
    this.admin = adminServer(publisher);
  }

  /** Returns a gateway that hasn't started. */
  public static GatewayService create(BootSettings boot) {
    return new GatewayService(boot);
  }

  @Override
  public CompletableFuture<Void> start() {
    addGauges();
    limits.start(metrics);
    metrics.start();
    return network
        .start()
        .thenCompose(ok -> http.start())
        .thenCompose(ok -> admin.start())
        .thenRunAsync(this::begin, loop);
  }

  private void begin() {
    mesh.start(network, storeTransport::isDirectPathUp);
    tails.stream().filter(t -> !jobTails.contains(t)).forEach(ShardTailer::start);
    startSequentially(jobTails.iterator());
    coordinator.begin(lease, weights);
    loop.every(CapacityExchange.PERIOD, capacityExchange::tick);
    loop.every(CAPACITY_GAUGE_PERIOD, new CapacityMonitor(capacities, directory, metrics)::tick);
    usage.ifPresent(u -> u.start(metrics));
    registration.register(boot, incarnation, clock.now());
    EventLog.info(
        LogEvent.STARTED, "role", "gateway", "instance", boot.node(), "incarnation", incarnation);
  }

  /** Starts the tails of the job shards one after the other, to request one page at a time. */
  private void startSequentially(Iterator<ShardTailer> remaining) {
    if (remaining.hasNext()) {
      ShardTailer tail = remaining.next();
      tail.start();
      tail.whenFirstScanEnded(() -> startSequentially(remaining));
    }
  }

  /**
   * Drains this process: releases the lease, reports not ready, lets runs and requests finish
   * within the grace period, hands the remaining runs back to the coordinator, and deletes its
   * record. Once the platform has noticed that it isn't ready, requests that might run beyond the
   * grace period are refused instead of forwarded, so that they are known not to have run. Requests
   * without a response at the end get one from this process. The HTTP servers are not stopped,
   * because the library would abort requests in flight after its own quiet period; they end with
   * the process.
   */
  @Override
  public CompletableFuture<Void> stop() {
    EventLog.info(LogEvent.STOPPING, "instance", boot.node());
    draining = true;
    Duration time = boot.bounds().grace().minus(SHUTDOWN_RESERVE).minus(READINESS_NOTICE_TIME);
    CompletableFuture<Void> noticed = new CompletableFuture<>();
    loop.execute(
        () -> {
          coordinator.stop();
          runner.stopAcceptingRuns();
          loop.after(READINESS_NOTICE_TIME, () -> noticed.complete(null));
        });
    return noticed
        .thenRun(() -> drainDeadline.startIn(time.plus(LAST_RESPONSES_TIME)))
        .thenCompose(ok -> traffic.awaitIdle(loop, clock, time, () -> !runner.isBusy()))
        .thenCompose(ok -> endLastRequests())
        .thenCompose(ok -> unregister())
        .thenCompose(ok -> network.stop());
  }

  /**
   * Refuses new requests, waits for the responses to those already forwarded, and answers those
   * that have none by then.
   */
  private CompletableFuture<Void> endLastRequests() {
    traffic.refuseNewRequests();
    runner.stop();
    return traffic
        .awaitIdle(loop, clock, LAST_RESPONSES_TIME, () -> true)
        .thenRun(drainDeadline::answerOpenRequests);
  }

  /**
   * Deletes this process's record. This is the last step, because the next coordinator finds this
   * process by its record to take its runs over.
   */
  private CompletableFuture<Void> unregister() {
    CompletableFuture<Void> deleted = new CompletableFuture<>();
    registration.unregister(boot);
    loop.after(RECORD_DELETION_TIME, () -> deleted.complete(null));
    return deleted;
  }

  private ShardTailer tail(Shard shard, TailListener listener, Duration wait) {
    return tail(shard, listener, wait, () -> Duration.ZERO);
  }

  private ShardTailer tail(
      Shard shard, TailListener listener, Duration wait, Supplier<Duration> readPause) {
    TailListener logged = new LoggingTailListener(shard, listener);
    ShardTailer tail = ShardTailer.create(store, shard, logged, clock, loop, wait, readPause);
    tails.add(tail);
    return tail;
  }

  private Duration leaseAcquisitionDelay() {
    return boot.milliCores() < COORDINATOR_MILLI_CORES ? LEASE_ACQUISITION_DELAY : Duration.ZERO;
  }

  /**
   * Returns the pause between reads of a job shard; there is none while this process coordinates or
   * a reader waits for a record of the shard.
   */
  private Duration jobReadPause(int shard) {
    boolean awaited = coordinator.isActive() || jobs.hasReader(shard);
    return awaited ? Duration.ZERO : JOB_READ_PAUSE;
  }

  private ClientFactoryBuilder clientFactory(OutOfStepListener listener) {
    return ClientFactory.builder()
        .workerGroup(thread, false)
        .connectTimeout(CONNECT_TIMEOUT)
        .idleTimeout(SERVER_IDLE_TIME)
        .useHttp1Pipelining(false)
        .option(
            ClientFactoryOptions.CHANNEL_PIPELINE_CUSTOMIZER,
            pipeline -> UpstreamPipeline.customize(pipeline, carriedIds, listener))
        .preferHttp1(true);
  }

  private void onOutOfStep(String address) {
    if (connectionReuse.onOutOfStep(address)) {
      EventLog.info(
          LogEvent.CONNECTIONS_NOT_REUSED, "address", address, "ms", SERVER_IDLE_TIME.toMillis());
    }
  }

  private ForwardContext forwardContext() {
    return new ForwardContext(
        loop,
        clock,
        boot.zone(),
        new SplittableRandom(),
        Router.create(new SplittableRandom(), clock, RouterPolicy.DEFAULT, capacities),
        capacities,
        directory,
        servers,
        RetryBudget.create(RETRIES_PER_REQUEST, RETRY_BURST),
        upstreams,
        limits.budget(),
        RequestMetrics.create(metrics, s -> !directory.viewsOf(s).isEmpty()),
        drainDeadline,
        () -> usage.<UsageRecorder>map(u -> u).orElse(UsageRecorder.NONE));
  }

  private Server httpServer() {
    IngressRoutes routes =
        new IngressRoutes(
            manifests, context, jobs, this::isReady, operatorTail::isFailing, limits.bodies());
    var builder = Server.builder().http(boot.clientAddress());
    if (!boot.readinessAddress().equals(boot.clientAddress())) {
      builder.http(boot.readinessAddress());
    }
    return limits
        .applyTo(builder, ConnectionOptionHandler::addTo)
        .workerGroup(thread, false)
        .requestTimeoutMillis(0)
        .maxRequestLength(0)
        .http1MaxHeaderSize(Limits.MAX_HEADER_BYTES)
        .http1MaxInitialLineLength(Limits.MAX_HEADER_BYTES)
        .idleTimeout(CLIENT_IDLE_TIME)
        .disableServerHeader()
        .disableDateHeader()
        .decorator(traffic::serve)
        .serviceUnder("/", routes)
        .build();
  }

  private Server adminServer(ResultPublisher publisher) {
    List<StateSource> sources = new ArrayList<>(List.of(new GatewayState(publisher)));
    usage.ifPresent(sources::add);
    StateDump dump = StateDump.of(loop, sources);
    var builder = Server.builder().http(boot.adminAddress()).workerGroup(thread, false);
    AdminRoutes.create(this::isReady, metrics, dump).addTo(builder);
    limits.applyTo(builder);
    return builder.disableServerHeader().build();
  }

  private boolean isReady() {
    return !draining && manifests.current().isPresent() && servers.size() > 0;
  }

  private void onServerGone(InstanceId server) {
    coordinator.onServerGone(server);
  }

  private Hello hello() {
    return Hello.newBuilder()
        .setInstance(boot.node().value())
        .setZone(boot.zone().value())
        .setRole("gateway")
        .setIncarnation(incarnation.value())
        .build();
  }

  private static HttpResponse refuse(HttpRequest request) {
    String id = CallHeaders.requestId(request.headers());
    return HttpResponse.of(
        CallHeaders.localResponse(
            UNAVAILABLE, id, Optional.of(IngressRoutes.DRAINING_RETRY_AFTER)));
  }

  private static SocketAddressText addressText(InetSocketAddress address) {
    return new SocketAddressText(address.getHostString(), address.getPort());
  }

  private void addGauges() {
    metrics.gauge(Metric.LINKS, () -> mesh.linkedPeers().size());
    metrics.gauge(Metric.SAMPLES_IN_FLIGHT, runner::runCount);
    metrics.gauge(Metric.REVISION, () -> manifests.current().map(m -> m.version()).orElse(0L));
    metrics.gauge(Metric.COORDINATES, () -> coordinator.isActive() ? 1 : 0);
    metrics.gauge(Metric.LOG_DROPPED, QueueWriter::dropped);
    metrics.gauge(Metric.ITEMS_WAITING, () -> coordinator.jobs().waitingCount());
    metrics.gauge(Metric.REWARD_CALLS, rewards::size);
  }

  private final class GatewayState implements StateSource {

    private final ResultPublisher publisher;

    private GatewayState(ResultPublisher publisher) {
      this.publisher = publisher;
    }

    @Override
    public String name() {
      return "gateway";
    }

    @Override
    public Object state() {
      return new State(
          manifests.current().map(m -> m.version()).orElse(0L),
          servers.size(),
          view.allJobs().size(),
          runner.runCount(),
          coordinator.isActive(),
          lease.term(),
          storeTransport.isDirectPathUp(),
          publisher.pendingCount(),
          mesh.linkedPeers().keySet().stream().map(InstanceId::value).sorted().toList());
    }
  }

  private final class MeshListener implements PeerMesh.PeerListener {

    @Override
    public void onUp(InstanceId peer) {
      capacityExchange.onPeerUp();
      coordinator.onPeerUp(peer);
    }

    @Override
    public void onLost(InstanceId peer, String why) {
      coordinator.onPeerLost(peer, why);
    }

    @Override
    public void onOwnRecord(StoredRecord stored) throws InvalidProtocolBufferException {
      registration.onOwnRecord(stored);
    }

    @Override
    public void onFrame(InstanceId peer, LinkFrame frame) {
      if (frame.hasLatencyReport()) {
        capacityExchange.onReport(peer, frame.getLatencyReport());
      } else if (usage.isPresent() && frame.hasUsageReport()) {
        usage.get().onReport(peer, frame.getUsageReport());
      } else {
        coordinator.onFrame(peer, frame);
      }
    }
  }

  private final class CapacityCoordination implements CapacityExchange.Coordination {

    @Override
    public boolean isActive() {
      return coordinator.isActive();
    }

    @Override
    public long term() {
      return lease.term();
    }

    @Override
    public Set<InstanceId> peers() {
      return mesh.linkedPeers().keySet();
    }

    @Override
    public void send(InstanceId peer, LinkFrame frame) {
      mesh.send(peer, frame);
    }
  }
}
