package org.carobhoist.server.gateway.coordination;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.carobhoist.core.common.Callbacks;
import org.carobhoist.core.common.Clock;
import org.carobhoist.core.common.InstanceId;
import org.carobhoist.core.common.ServiceName;
import org.carobhoist.core.common.Zone;
import org.carobhoist.core.job.ItemId;
import org.carobhoist.core.job.ItemResult;
import org.carobhoist.core.job.Job;
import org.carobhoist.core.job.JobHead;
import org.carobhoist.core.job.JobId;
import org.carobhoist.core.job.JobItem;
import org.carobhoist.core.job.JobListener;
import org.carobhoist.core.job.JobView;
import org.carobhoist.core.lease.LeaseEntry;
import org.carobhoist.core.lease.LeaseListener;
import org.carobhoist.core.lease.LeaseManager;
import org.carobhoist.core.lease.TickLatenessMonitor;
import org.carobhoist.core.limit.BufferBudget;
import org.carobhoist.core.manifest.EngineSpec;
import org.carobhoist.core.manifest.Manifest;
import org.carobhoist.core.manifest.ManifestHolder;
import org.carobhoist.core.manifest.ServiceSpec;
import org.carobhoist.core.membership.EndpointPhase;
import org.carobhoist.core.membership.RegisteredServers;
import org.carobhoist.core.membership.ServerEntry;
import org.carobhoist.core.placement.ItemKey;
import org.carobhoist.core.placement.JobCoordinator;
import org.carobhoist.core.placement.PlacementPolicy;
import org.carobhoist.core.placement.PlacementPort;
import org.carobhoist.core.placement.RunOrder;
import org.carobhoist.core.placement.RunReport;
import org.carobhoist.core.placement.RunText;
import org.carobhoist.core.placement.TextCheckpoint;
import org.carobhoist.core.placement.TextDelta;
import org.carobhoist.core.placement.WaitCause;
import org.carobhoist.platform.JobJson;
import org.carobhoist.server.gateway.job.CheckpointStore;
import org.carobhoist.server.gateway.job.CompletedTextPublisher;
import org.carobhoist.server.gateway.job.ItemRunner;
import org.carobhoist.server.gateway.job.ProtobufJobRecordCodec;
import org.carobhoist.server.gateway.job.ResultPublisher;
import org.carobhoist.server.gateway.job.RunMapper;
import org.carobhoist.server.gateway.peer.PeerMesh;
import org.carobhoist.server.link.proto.LinkFrame;
import org.carobhoist.server.link.proto.RunCancel;
import org.carobhoist.server.link.proto.RunnerAttach;
import org.carobhoist.server.link.proto.RunnerState;
import org.carobhoist.server.log.EventLog;
import org.carobhoist.server.log.LogEvent;
import org.carobhoist.server.runtime.DecisionLoop;

/**
 * Coordinator role of this process. While the process holds the lease, it assigns items to runners
 * and engines, and orders the engines to load new weight versions.
 */
public final class CoordinatorRole implements PlacementPort, LeaseListener, JobListener {

  /**
   * Time for which a process that handed the lease over because it was too slow doesn't acquire it
   * again; slow periods last seconds.
   */
  private static final Duration HOLD_OFF = Duration.ofSeconds(10);

  /** Delay before reading another job's result is retried, when it is reused for an item. */
  private static final Duration REUSE_RETRY_DELAY = Duration.ofMillis(300);

  private final InstanceId self;
  private final Zone zone;
  private final int milliCores;
  private final DecisionLoop loop;
  private final Clock clock;
  private final ManifestHolder manifests;
  private final RegisteredServers servers;
  private final JobView view;
  private final PeerMesh mesh;
  private final ItemRunner runner;
  private final ResultPublisher publisher;
  private final CompletedTextPublisher completedTexts;
  private final CheckpointStore checkpoints;
  private final EarlyJobs earlyJobs;
  private final Duration resultRetention;
  private final JobCoordinator jobs;
  private final TickLatenessMonitor tickMonitor = TickLatenessMonitor.create(JobCoordinator.TICK);
  private final Set<InstanceId> leavingPeers = new HashSet<>();
  private EngineWeightManager weights;
  private LeaseManager lease;
  private boolean active;
  private boolean ticking;
  private boolean stopping;
  private boolean deletingJob;

  /** Creates the role of a process that doesn't hold the lease. */
  public CoordinatorRole(
      InstanceId self,
      Zone zone,
      int milliCores,
      DecisionLoop loop,
      Clock clock,
      ManifestHolder manifests,
      RegisteredServers servers,
      JobView view,
      PeerMesh mesh,
      ItemRunner runner,
      ResultPublisher publisher,
      CompletedTextPublisher completedTexts,
      CheckpointStore checkpoints,
      BufferBudget buffers,
      Duration resultRetention) {
    this.self = self;
    this.zone = zone;
    this.milliCores = milliCores;
    this.loop = loop;
    this.clock = clock;
    this.manifests = manifests;
    this.servers = servers;
    this.view = view;
    this.mesh = mesh;
    this.runner = runner;
    this.publisher = publisher;
    this.completedTexts = completedTexts;
    this.checkpoints = checkpoints;
    this.earlyJobs = new EarlyJobs(buffers, loop);
    this.resultRetention = resultRetention;
    this.jobs = JobCoordinator.create(view, this, PlacementPolicy.DEFAULT, clock, this::engineSpec);
  }

  /** Starts to compete for the lease. */
  public void begin(LeaseManager leaseManager, EngineWeightManager weightManager) {
    lease = leaseManager;
    weights = weightManager;
    loop.every(LeaseManager.TICK, lease::tick);
  }

  /** Releases the lease, if held, and doesn't acquire it again because this process is stopping. */
  public void stop() {
    stopping = true;
    lease.retire(mesh.heir());
  }

  public boolean isActive() {
    return active;
  }

  /** Returns the placement of items, which is active while this process coordinates. */
  public JobCoordinator jobs() {
    return jobs;
  }

  @Override
  public void onAcquired(long term) {
    EventLog.info(LogEvent.LEASE_TAKEN, "term", term);
    active = true;
    mesh.linkAll(true);
    jobs.activate(term);
    loadCheckpoints(term);
    runner.onAttach(term, new LocalLink());
    mesh.linkedPeers().keySet().forEach(this::attach);
    tickMonitor.reset();
    if (!ticking) {
      ticking = true;
      loop.after(JobCoordinator.TICK, this::tick);
    }
  }

  @Override
  public void onAcquisitionFailed(long term, RuntimeException cause) {
    EventLog.error(LogEvent.LEASE_UNUSED, cause, "term", term);
  }

  private void loadCheckpoints(long term) {
    checkpoints
        .load()
        .whenComplete(
            Callbacks.reported(
                (texts, failure) -> {
                  if (failure != null) {
                    EventLog.warn(LogEvent.UNFINISHED_TEXTS_UNREAD, "term", term, "why", failure);
                  } else if (active && lease.term() == term) {
                    int restored = jobs.onCheckpointsLoaded(texts);
                    EventLog.info(
                        LogEvent.UNFINISHED_TEXTS_READ,
                        "term",
                        term,
                        "texts",
                        texts.size(),
                        "used",
                        restored);
                  }
                }));
  }

  @Override
  public void onLost(long term, String why) {
    EventLog.warn(LogEvent.LEASE_LOST, "term", term, "why", why);
    active = false;
    jobs.deactivate();
    weights.clear();
    mesh.linkAll(false);
  }

  @Override
  public void onLeaseRecord(LeaseEntry entry) {
    if (entry.term() == 0 || entry.released()) {
      EventLog.info(LogEvent.LEASE_SEEN, "holder", entry.holder(), "released", entry.released());
    }
  }

  /** Called when a link to a peer has been established. */
  public void onPeerUp(InstanceId peer) {
    if (active) {
      attach(peer);
    }
  }

  /** Called when a peer has become unreachable or its record has been deleted. */
  public void onPeerLost(InstanceId peer, String why) {
    EventLog.info(LogEvent.PEER_LOST, "peer", peer, "why", why);
    leavingPeers.remove(peer);
    if (active) {
      jobs.onRunnerLost(peer);
    }
  }

  /** Handles a frame from a peer that runs items for this coordinator. */
  public void onFrame(InstanceId peer, LinkFrame frame) {
    if (!active) {
      return;
    }
    switch (frame.getBodyCase()) {
      case RUNNER_STATE -> onRunnerState(peer, frame.getRunnerState());
      case RUN_REPORT -> {
        if (frame.getRunReport().getTerm() == lease.term()) {
          jobs.onReport(RunMapper.report(frame.getRunReport()));
        }
      }
      case JOB_NOTICE -> {
        JobId job = JobId.parse(frame.getJobNotice().getJob());
        var message = frame.getJobNotice().getRecord();
        runEarly(ProtobufJobRecordCodec.head(job, message), message.getContent().toByteArray());
      }
      default -> EventLog.info(LogEvent.FRAME_DROPPED, "peer", peer, "kind", frame.getBodyCase());
    }
  }

  private void runEarly(JobHead head, byte[] submitted) {
    if (!earlyJobs.admit(head.id(), submitted.length)) {
      EventLog.info(
          LogEvent.JOB_AWAITS_STORE,
          "job",
          head.id(),
          "items",
          head.itemCount(),
          "bytes",
          submitted.length);
      return;
    }
    EventLog.info(LogEvent.JOB_RUNS_EARLY, "job", head.id(), "items", head.itemCount());
    jobs.onProvisional(view.createProvisionalJob(head, submitted));
  }

  /** Called when a server has been unregistered or is shutting down. */
  public void onServerGone(InstanceId server) {
    weights.onEngineGone(server);
  }

  private void onRunnerState(InstanceId peer, RunnerState state) {
    if (state.getTerm() != lease.term()) {
      return;
    }
    if (state.getLeaving()) {
      leavingPeers.add(peer);
    } else {
      leavingPeers.remove(peer);
    }
    jobs.onRunnerState(peer, state.getRunsList().stream().map(RunMapper::report).toList());
  }

  private void attach(InstanceId peer) {
    RunnerAttach message = RunnerAttach.newBuilder().setTerm(lease.term()).build();
    mesh.send(peer, LinkFrame.newBuilder().setRunnerAttach(message).build());
  }

  /** Reschedules itself only while this process coordinates, so that other processes stay idle. */
  private void tick() {
    ticking = active;
    if (!active) {
      return;
    }
    loop.after(JobCoordinator.TICK, this::tick);
    if (tickMonitor.recordTick(clock.elapsed()) && handOver()) {
      return;
    }
    // One service, or one of these duties, must not keep the others from being performed.
    manifests.current().ifPresent(m -> m.services().values().forEach(this::updateEngines));
    Callbacks.runReported(weights::tick);
    Callbacks.runReported(() -> jobs.tick(clock.now()));
    Callbacks.runReported(() -> deleteOneExpiredJob(clock.now()));
  }

  /**
   * Hands the lease over to the heir, if there is one, because this process is too slow. Returns
   * whether this process no longer coordinates; it still does while orders await their answers.
   */
  private boolean handOver() {
    Optional<InstanceId> heir = mesh.heir().filter(h -> !lease.isReleasing());
    heir.ifPresent(
        h -> {
          EventLog.warn(
              LogEvent.LEASE_HANDED_OVER, "heir", h, "late", tickMonitor.averageLateness());
          lease.handOver(h, HOLD_OFF);
        });
    return !active;
  }

  /**
   * Deletes from the store the oldest job that has ended or expired and whose results need no
   * longer be readable, unless a deletion is in progress.
   */
  private void deleteOneExpiredJob(Instant now) {
    if (deletingJob) {
      return;
    }
    Optional<Job> expired =
        view.allJobs().stream()
            .filter(j -> now.isAfter(j.head().acceptedAt().plus(resultRetention)))
            .filter(j -> j.isEnded() || j.head().isExpired(now))
            .findFirst();
    if (expired.isPresent()) {
      deletingJob = true;
      JobId job = expired.get().id();
      Callbacks.start(() -> publisher.delete(expired.get()))
          .whenComplete(
              (ok, failure) -> {
                deletingJob = false;
                if (failure != null) {
                  EventLog.info(LogEvent.STORE_TRIED_AGAIN, "job", job, "why", failure);
                }
              });
    }
  }

  private void updateEngines(ServiceSpec service) {
    ServiceName name = service.name();
    service
        .engine()
        .ifPresent(
            spec ->
                Callbacks.runReported(() -> weights.onEngines(name, spec.models(), engines(name))));
  }

  private Optional<EngineSpec> engineSpec(ServiceName service) {
    return manifests
        .current()
        .map(Manifest::services)
        .flatMap(services -> Optional.ofNullable(services.get(service)))
        .flatMap(s -> s.engine());
  }

  @Override
  public Collection<ServerEntry> engines(ServiceName service) {
    return servers.entriesOf(service).stream()
        .filter(e -> e.announcement().phase() == EndpointPhase.SERVING)
        .toList();
  }

  @Override
  public boolean isInRotation(InstanceId engine, String model) {
    return weights.isInRotation(engine, model);
  }

  @Override
  public boolean awaitsLoad(InstanceId engine, String model) {
    return weights.awaitsLoad(engine, model);
  }

  @Override
  public Collection<Runner> runners() {
    List<Runner> out = new ArrayList<>();
    if (!stopping) {
      out.add(new Runner(self, zone, milliCores));
    }
    mesh.linkedPeers()
        .forEach(
            (id, peer) -> {
              if (!leavingPeers.contains(id)) {
                out.add(peer);
              }
            });
    return out;
  }

  @Override
  public void start(InstanceId id, RunOrder placed) {
    RunOrder order = ItemIdentity.withoutForgedAccount(placed, manifests.current());
    if (id.equals(self)) {
      runner.onStart(lease.term(), order);
    } else {
      mesh.send(
          id,
          LinkFrame.newBuilder().setRunStart(RunMapper.startMessage(lease.term(), order)).build());
    }
  }

  @Override
  public void cancel(InstanceId id, long run) {
    if (id.equals(self)) {
      runner.onCancel(lease.term(), run);
    } else {
      RunCancel message = RunCancel.newBuilder().setTerm(lease.term()).setRun(run).build();
      mesh.send(id, LinkFrame.newBuilder().setRunCancel(message).build());
    }
  }

  @Override
  public void publish(JobId job, ItemResult result) {
    publisher.publish(job, result);
  }

  @Override
  public void publishCompleted(Job job, JobItem item, RunText text) {
    Instant expiry = job.head().acceptedAt().plus(job.head().rules().retention());
    completedTexts.publish(job.id(), item, text, Duration.between(clock.now(), expiry), () -> {});
  }

  @Override
  public void reuse(Job job, JobItem item, ItemResult former, boolean scored) {
    publisher
        .load(List.of(former))
        .whenComplete(
            Callbacks.reported(
                (loaded, failure) -> {
                  if (failure == null) {
                    if (!Callbacks.runReported(() -> reuse(job, item, scored, loaded.get(0)))) {
                      jobs.onReuseFailed(job.id(), item.id());
                    }
                  } else if (active && job.isOpen() && job.result(item.id()).isEmpty()) {
                    EventLog.info(LogEvent.READ_UNSURE, "job", job.id(), "why", failure);
                    loop.after(REUSE_RETRY_DELAY, () -> reuse(job, item, former, scored));
                  }
                }));
  }

  private void reuse(Job job, JobItem item, boolean scored, ItemResult loaded) {
    if (scored) {
      publisher.publish(job.id(), loaded);
      return;
    }
    TextDelta delta = new TextDelta(0, 1, JobJson.textOf(loaded), "", loaded.versions());
    publishCompleted(job, item, RunText.fromDelta(delta));
  }

  @Override
  public void onEngineLeaving(InstanceId engine) {
    servers.onLeavingReported(engine);
  }

  @Override
  public CompletableFuture<Void> storeCheckpoints(
      List<TextCheckpoint> texts, List<ItemKey> obsolete) {
    return checkpoints
        .store(texts, obsolete)
        .whenComplete(
            (ok, failure) -> {
              if (failure != null) {
                EventLog.warn(
                    LogEvent.UNFINISHED_TEXTS_UNSTORED,
                    "texts",
                    texts.size(),
                    "deleted",
                    obsolete.size(),
                    "why",
                    failure);
              }
            });
  }

  @Override
  public ItemResult givenUpResult(ItemId item) {
    return JobJson.givenUp(item);
  }

  @Override
  public void logDecision(Decision decision, JobId job, ItemId item, Object... fields) {
    LogEvent event =
        switch (decision) {
          case PLACED -> LogEvent.ITEM_PLACED;
          case RUN_ENDED -> LogEvent.ITEM_WAITS_AGAIN;
          case MOVED -> LogEvent.RUN_MOVED;
          case REUSED -> LogEvent.RESULT_REUSED;
          case TEXT_DROPPED -> LogEvent.TEXT_DROPPED;
          case GIVEN_UP -> LogEvent.ITEM_GIVEN_UP;
        };
    List<Object> all = new ArrayList<>(List.of("job", job, "item", item));
    all.addAll(List.of(fields));
    EventLog.info(event, all.toArray());
  }

  @Override
  public void logWaiting(ServiceName service, Map<WaitCause, Integer> causes) {
    EventLog.info(LogEvent.ITEMS_WAIT, "service", service, "causes", causes);
  }

  @Override
  public void onAccepted(Job job) {
    // The content is large and only the coordinator needs it, so other processes don't decode it.
    EventLog.info(
        LogEvent.JOB_KNOWN,
        "job",
        job.id(),
        "items",
        job.head().itemCount(),
        "step",
        active ? job.content().step() : "",
        "min",
        active ? job.content().minVersion() : "");
    jobs.onAccepted(job);
    earlyJobs.release(job.id());
  }

  @Override
  public void onResultPublished(Job job, ItemResult result) {
    jobs.onResultPublished(job, result);
  }

  @Override
  public void onEnded(Job job) {
    EventLog.info(LogEvent.JOB_ENDED, "job", job.id(), "listed", job.resultCount());
    jobs.onEnded(job);
    runner.onJobEnded(job.id());
    earlyJobs.release(job.id());
  }

  @Override
  public void onDuplicateResult(Job job, ItemResult result, long offset) {
    EventLog.warn(LogEvent.LISTED_AGAIN, "job", job.id(), "item", result.item(), "offset", offset);
  }

  @Override
  public void onUnreadableRecord(String key, long offset, String why) {
    EventLog.warn(LogEvent.RECORD_SKIPPED, "key", key, "offset", offset, "why", why);
  }

  /** Connects the runner of this process to its own coordinator without a network link. */
  private final class LocalLink implements ItemRunner.CoordinatorLink {

    @Override
    public void sendJobNotice(JobHead head, byte[] submitted) {
      if (active) {
        runEarly(head, submitted);
      }
    }

    @Override
    public void sendState(long term, List<RunReport> runs, boolean leaving) {
      loop.execute(
          () -> {
            if (active && term == lease.term()) {
              jobs.onRunnerState(self, runs);
            }
          });
    }

    @Override
    public void sendReport(long term, RunReport report) {
      loop.execute(
          () -> {
            if (active && term == lease.term()) {
              jobs.onReport(report);
            }
          });
    }
  }
}
