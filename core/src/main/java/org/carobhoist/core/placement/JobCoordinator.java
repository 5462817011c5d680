package org.carobhoist.core.placement;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.function.Predicate;
import java.util.stream.Stream;
import org.carobhoist.core.common.Callbacks;
import org.carobhoist.core.common.Clock;
import org.carobhoist.core.common.InstanceId;
import org.carobhoist.core.common.ServiceName;
import org.carobhoist.core.common.WeightVersion;
import org.carobhoist.core.job.ItemId;
import org.carobhoist.core.job.ItemResult;
import org.carobhoist.core.job.Job;
import org.carobhoist.core.job.JobId;
import org.carobhoist.core.job.JobItem;
import org.carobhoist.core.job.JobView;
import org.carobhoist.core.manifest.EngineSpec;
import org.carobhoist.core.membership.ServerEntry;
import org.carobhoist.core.placement.ItemState.Phase;
import org.carobhoist.core.placement.PlacementPort.Decision;
import org.carobhoist.core.placement.PlacementPort.Runner;
import org.carobhoist.core.routing.Rendezvous;

/**
 * Places the items of all open jobs on engines through runners, the processes that hold the streams
 * of the engines' responses. It persists no state: a new coordinator reads the open jobs from the
 * store's view, adopts the runs that the runners report, and only then starts runs for the
 * remaining items. Results are published by the runners; if two runs of an item finish, one result
 * is published.
 *
 * <p>If an engine breaks off a run, or a run is cancelled because its engine is slow, another run
 * continues from the text generated so far. Texts of an ended job are kept for a while, since a
 * later job may submit the same items again.
 */
public final class JobCoordinator {

  /** Time between two calls of {@link #tick}. */
  public static final Duration TICK = Duration.ofMillis(50);

  /** Time after which a cancelled run is treated as ended if its runner doesn't respond. */
  private static final Duration CANCEL_TIMEOUT = Duration.ofSeconds(2);

  /** Time within which a provisional job, which runs already, must appear in the store. */
  public static final Duration PROVISIONAL_TIMEOUT = Duration.ofSeconds(15);

  /** Minimum time between two log entries on the causes that items wait for. */
  private static final Duration WAIT_LOG_PERIOD = Duration.ofSeconds(1);

  /**
   * Number of low bits of a run number that count the runs of one lease term; the higher bits hold
   * the term.
   */
  private static final int RUN_COUNTER_BITS = 24;

  private final JobView view;
  private final PlacementPort port;
  private final PlacementPolicy policy;
  private final Placer placer;
  private final Refusals refusals;
  private final Clock clock;
  private final Function<ServiceName, Optional<EngineSpec>> specs;
  private final Map<ItemKey, ItemState> items = new LinkedHashMap<>();
  private final Map<Long, ItemState> runs = new HashMap<>();
  private final Map<InstanceId, EngineLoad> engines = new HashMap<>();
  private final ReusableOutputs reusableOutputs;
  private final TextCheckpoints checkpoints;
  private boolean active;
  private long nextRun;
  private Duration placementStartsAt = Duration.ZERO;
  private Duration nextWaitLogAt = Duration.ZERO;

  private JobCoordinator(
      JobView view,
      PlacementPort port,
      PlacementPolicy policy,
      Clock clock,
      Function<ServiceName, Optional<EngineSpec>> specs) {
    this.view = view;
    this.port = port;
    this.policy = policy;
    this.placer = new Placer(policy);
    this.refusals = new Refusals(policy);
    this.clock = clock;
    this.specs = specs;
    this.reusableOutputs = new ReusableOutputs(view);
    this.checkpoints = new TextCheckpoints(port, clock);
  }

  /**
   * Returns a coordinator that isn't active.
   *
   * @param specs returns the manifest's description of a service's engines
   */
  public static JobCoordinator create(
      JobView view,
      PlacementPort port,
      PlacementPolicy policy,
      Clock clock,
      Function<ServiceName, Optional<EngineSpec>> specs) {
    return new JobCoordinator(view, port, policy, clock, specs);
  }

  /**
   * Starts placing items after a settle time, in which the runners report the runs that they hold.
   */
  public void activate(long term) {
    active = true;
    nextRun = term << RUN_COUNTER_BITS;
    placementStartsAt = clock.elapsed().plus(policy.settleTime());
    items.clear();
    runs.clear();
    engines.clear();
    checkpoints.reset();
    view.jobs().stream()
        .filter(Job::isOpen)
        .forEach(j -> Callbacks.runReported(() -> onAccepted(j)));
  }

  /** Stops placing items; running items continue at their runners. */
  public void deactivate() {
    active = false;
  }

  /** Returns the number of items that wait for an engine; used for metrics. */
  public long waitingCount() {
    return items.values().stream().filter(s -> s.phase() == Phase.WAITING).count();
  }

  /** Returns the number of runs in progress; used for metrics. */
  public int runningCount() {
    return runs.size();
  }

  /** Returns the number of runs of a model that this coordinator has placed at an engine. */
  public int runCountAt(InstanceId engine, String model) {
    return (int) runsOf(engine, model).count();
  }

  /** Returns the longest expected remaining time of an engine's runs of a model; zero if none. */
  public Duration longestRemainingTimeAt(InstanceId engine, String model) {
    Duration now = clock.elapsed();
    return runsOf(engine, model)
        .map(s -> timeLeft(s, now))
        .max(Comparator.naturalOrder())
        .orElse(Duration.ZERO);
  }

  /** Returns the number of an engine's runs of a model that a load would break off. */
  public int singleVersionRunCountAt(InstanceId engine, String model) {
    return (int) runsOf(engine, model).filter(VersionConstraint::needsSingleVersion).count();
  }

  private Stream<ItemState> runsOf(InstanceId engine, String model) {
    EngineLoad load = engines.get(engine);
    return load == null
        ? Stream.empty()
        : load.items().stream().filter(s -> s.job().content().model().equals(model));
  }

  /** Called when an engine reports the version of a model that it serves. */
  public void onEngineVersion(InstanceId engine, String model, WeightVersion version) {
    EngineLoad load = engines.get(engine);
    if (load != null) {
      load.onVersion(model, version);
    }
  }

  /** Returns the newest minimum weight version that an open job requires of a model. */
  public WeightVersion newestRequiredVersion(String model) {
    return items.values().stream()
        .map(ItemState::job)
        .distinct()
        .filter(j -> j.content().model().equals(model))
        .map(j -> j.content().minVersion())
        .max(Comparator.naturalOrder())
        .orElse(new WeightVersion(0));
  }

  /** Called when a job was accepted. */
  public void onAccepted(Job job) {
    if (!active || !job.isOpen()) {
      return;
    }
    for (JobItem item : job.content().items()) {
      ItemState known = items.get(new ItemKey(job.id(), item.id()));
      if (known != null) {
        known.replaceJob(job);
      } else if (job.result(item.id()).isEmpty()) {
        addItem(job, item);
      }
    }
  }

  /**
   * Called for a job that the process which accepted it can't store yet. Its items run at once; the
   * job is dropped if it doesn't appear in the store in time.
   */
  public void onProvisional(Job job) {
    if (active && view.job(job.id()).isEmpty()) {
      onAccepted(job);
    }
  }

  /** Called when any process has published a result. */
  public void onResultPublished(Job job, ItemResult result) {
    ItemState state = items.remove(new ItemKey(job.id(), result.item()));
    if (state != null) {
      endRun(state, Phase.DONE);
    }
  }

  /** Called when a job has ended; cancels its runs and keeps their texts for later jobs. */
  public void onEnded(Job job) {
    for (ItemState state : List.copyOf(items.values())) {
      if (state.job().id().equals(job.id())) {
        items.remove(new ItemKey(job.id(), state.item().id()));
        reusableOutputs.keep(state.job(), state.item().id(), state.text());
        endRun(state, Phase.DONE);
      }
    }
  }

  /** Called when the result of a former job can't be used for an item after all; the item runs. */
  public void onReuseFailed(JobId job, ItemId item) {
    ItemState state = items.get(new ItemKey(job, item));
    if (state != null && state.phase() == Phase.DONE && !state.text().isComplete()) {
      state.clearRun(Phase.WAITING, clock.elapsed());
    }
  }

  /** Called when a runner reports all its runs to this coordinator. */
  public void onRunnerState(InstanceId runner, Collection<RunReport> reports) {
    reports.forEach(r -> adoptRun(runner, r));
  }

  /**
   * Called after activation with the unfinished texts that the store holds. Items that no runner
   * has reported continue from them.
   *
   * @return the number of items that continue from a stored text
   */
  public int onCheckpointsLoaded(Collection<TextCheckpoint> loaded) {
    int restored = 0;
    for (TextCheckpoint checkpoint : loaded) {
      checkpoints.onLoaded(checkpoint);
      ItemState state = items.get(checkpoint.key());
      RunText stored = RunText.fromDelta(checkpoint.text());
      if (state != null && isImprovedBy(state, stored)) {
        state.replaceText(stored, clock.elapsed());
        restored++;
      }
    }
    return restored;
  }

  private static boolean isImprovedBy(ItemState state, RunText stored) {
    return state.phase() == Phase.WAITING
        && stored.eventCount() > state.text().eventCount()
        && stored.fits(
            state.job().content().minVersion(), VersionConstraint.needsSingleVersion(state));
  }

  /** Called when a runner can't be reached any more; its items are placed again. */
  public void onRunnerLost(InstanceId runner) {
    for (ItemState state : List.copyOf(runs.values())) {
      if (runner.equals(state.runner())) {
        logRunEnd(state, "runner lost");
        removeRun(state, Phase.WAITING);
      }
    }
    items.values().stream().filter(s -> s.isPublishedBy(runner)).forEach(this::publishText);
  }

  /** Called when a runner reports the progress or the end of a run. */
  public void onReport(RunReport report) {
    if (report.engineLeaving()) {
      port.onEngineLeaving(report.engine());
    }
    ItemState state = runs.get(report.run());
    if (state == null) {
      return;
    }
    Duration now = clock.elapsed();
    boolean textIsKnown = applyProgress(state, report, now);
    if (report.outcome() == RunOutcome.FINISHED && !textIsKnown) {
      // The runner has the complete text and publishes the result, but may be lost before it does.
      // The coordinator lacks a part of the text, so it can't publish the result in the runner's
      // place. The item is therefore placed again and continues from the part that is known.
      logRunEnd(state, "finished, but the coordinator lacks a part of its text");
      removeRun(state, Phase.WAITING);
    } else if (report.outcome() != RunOutcome.RUNNING) {
      onRunEnded(state, report.outcome(), now);
    }
  }

  /**
   * Places waiting items, gives up expired ones, and cancels runs that are silent or slow. Must be
   * called every {@link #TICK}.
   */
  public void tick(Instant wallTime) {
    if (!active) {
      return;
    }
    Duration now = clock.elapsed();
    // A step that throws must not keep the others from being made at every tick.
    Callbacks.runReported(() -> giveUpExpired(wallTime));
    Callbacks.runReported(() -> checkRuns(now));
    Callbacks.runReported(() -> publishOverdue(now));
    if (now.compareTo(placementStartsAt) >= 0) {
      Callbacks.runReported(() -> place(now, wallTime));
      Callbacks.runReported(() -> moveRunExpectedToEndLast(now));
      Callbacks.runReported(() -> checkpoints.tick(items));
    }
  }

  private void addItem(Job job, JobItem item) {
    ItemState state = new ItemState(job, item);
    ItemKey key = new ItemKey(job.id(), item.id());
    if (items.putIfAbsent(key, state) != null) {
      return;
    }
    Optional<Job> other = reusableOutputs.findJobWithResult(job, item);
    if (other.isPresent()) {
      ItemResult result = other.get().result(item.id()).orElseThrow();
      port.logDecision(Decision.REUSED, job.id(), item.id(), "versions", result.versions());
      state.clearRun(Phase.DONE, clock.elapsed());
      port.reuse(job, item, result, ReusableOutputs.hasValidScore(other.get(), item));
      return;
    }
    reusableOutputs.takeText(job, item).ifPresent(text -> state.replaceText(text, clock.elapsed()));
    if (state.text().isComplete()) {
      port.logDecision(Decision.REUSED, job.id(), item.id(), "versions", state.text().versions());
      state.clearRun(Phase.DONE, clock.elapsed());
      port.publishCompleted(job, item, state.text());
    }
  }

  private void adoptRun(InstanceId runner, RunReport report) {
    ItemState state = items.get(new ItemKey(report.job(), report.item()));
    boolean known = state != null && runs.containsKey(report.run());
    boolean wanted = state != null && state.phase() == Phase.WAITING;
    if (known) {
      onReport(report);
      return;
    }
    if (wanted && report.outcome() == RunOutcome.FINISHED && report.text().firstEventIndex() == 0) {
      state.replaceText(RunText.fromDelta(report.text()), clock.elapsed());
      state.text().markComplete();
      state.markDone(runner, clock.elapsed());
      return;
    }
    if (!wanted || report.outcome() != RunOutcome.RUNNING) {
      port.cancel(runner, report.run());
      return;
    }
    Optional<EngineLoad> engine = engine(state.job().head().service(), report.engine());
    if (engine.isEmpty() || report.text().firstEventIndex() > 0) {
      port.cancel(runner, report.run());
      return;
    }
    state.replaceText(RunText.fromDelta(report.text()), clock.elapsed());
    state.startRun(report.run(), runner, engine.get(), clock.elapsed());
    runs.put(report.run(), state);
  }

  /**
   * Appends the reported events to the item's text; returns whether the text is known up to the
   * report's end.
   */
  private boolean applyProgress(ItemState state, RunReport report, Duration now) {
    int before = state.text().eventCount();
    state.engine().onVersion(state.job().content().model(), report.engineVersion());
    if (!state.text().append(report.text())) {
      return false;
    }
    int events = state.text().eventCount() - before;
    if (events > 0) {
      state.engine().onProgress(events, now.minus(state.changedAt()), now);
      state.markTextChanged(now);
    }
    return true;
  }

  private void onRunEnded(ItemState state, RunOutcome outcome, Duration now) {
    EngineLoad engine = state.engine();
    switch (outcome) {
      case FINISHED -> {
        InstanceId runner = state.runner();
        state.text().markComplete();
        removeRun(state, Phase.DONE);
        state.markDone(runner, now);
        return;
      }
      case IMPOSSIBLE -> {
        giveUp(state, "impossible");
        return;
      }
      case FAILED -> {
        if (state.countFailure() >= state.job().head().maxAttempts()) {
          giveUp(state, "no attempts left");
          return;
        }
        engine.pause(now.plus(policy.refusalPause()));
      }
      case NOT_RUN -> refusals.onNotRun(state, engine, now);
      case BROKEN, MISPLACED -> engine.pause(now.plus(policy.failurePause()));
      default -> {}
    }
    logRunEnd(state, outcome);
    removeRun(state, Phase.WAITING);
  }

  private void giveUp(ItemState state, String why) {
    port.logDecision(Decision.GIVEN_UP, state.job().id(), state.item().id(), "why", why);
    endRun(state, Phase.DONE);
    port.publish(state.job().id(), port.givenUpResult(state.item().id()));
  }

  private void giveUpExpired(Instant wallTime) {
    List.copyOf(items.values()).stream()
        .map(ItemState::job)
        .distinct()
        .filter(j -> view.job(j.id()).isEmpty() && isProvisionalJobOverdue(j, wallTime))
        .forEach(this::onEnded);
    for (ItemState state : List.copyOf(items.values())) {
      if (state.phase() != Phase.DONE && state.job().head().isExpired(wallTime)) {
        giveUp(state, "retention time expired");
      }
    }
  }

  private static boolean isProvisionalJobOverdue(Job job, Instant wallTime) {
    return wallTime.isAfter(job.head().acceptedAt().plus(PROVISIONAL_TIMEOUT));
  }

  /** Cancels runs that are silent. */
  private void checkRuns(Duration now) {
    for (ItemState state : List.copyOf(runs.values())) {
      Duration sinceChange = now.minus(state.changedAt());
      if (state.isCancelling()) {
        if (sinceChange.compareTo(CANCEL_TIMEOUT) > 0) {
          logRunEnd(state, "cancellation not confirmed in time");
          removeRun(state, Phase.WAITING);
        }
      } else if (sinceChange.compareTo(silenceTimeout(state)) > 0) {
        state.engine().pause(now.plus(policy.failurePause()));
        cancel(state, "silent", now);
      }
    }
  }

  private Duration silenceTimeout(ItemState state) {
    InstanceId engine = state.engine().entry().announcement().instance();
    boolean loading = !port.isInRotation(engine, state.job().content().model());
    return loading ? policy.loadingSilenceTimeout() : policy.silenceTimeout();
  }

  /**
   * Cancels the run that is expected to end last, if moving its item to a faster engine saves
   * enough time. The item is placed again after the cancellation. At most one run is moved per
   * tick. Must be called after the waiting items have been placed, which otherwise take the slot
   * that the run is to move to.
   */
  private void moveRunExpectedToEndLast(Duration now) {
    Optional<ItemState> lastToEnd =
        runs.values().stream()
            .filter(s -> !s.isCancelling() && s.text().eventCount() > 0)
            .max(Comparator.comparing(s -> timeLeft(s, now)));
    if (lastToEnd.isEmpty()) {
      return;
    }
    ItemState state = lastToEnd.get();
    Collection<EngineLoad> pool = engines(state.job().head().service());
    placer
        .betterEngine(state, pool, allowed(state), now)
        .ifPresent(target -> cancel(state, "slow engine", now));
  }

  private static Duration timeLeft(ItemState state, Duration now) {
    EngineLoad e = state.engine();
    return e.eventInterval(now).multipliedBy(state.eventsLeft(e.tokensPerEvent()));
  }

  private void cancel(ItemState state, String why, Duration now) {
    port.logDecision(
        Decision.MOVED,
        state.job().id(),
        state.item().id(),
        "run",
        state.run(),
        "engine",
        state.engine().entry().announcement().instance(),
        "events",
        state.text().eventCount(),
        "why",
        why);
    state.markCancelling(now);
    port.cancel(state.runner(), state.run());
  }

  /** Publishes the complete texts whose runner hasn't published a result in time. */
  private void publishOverdue(Duration now) {
    for (ItemState state : items.values()) {
      boolean scored = state.item().reward().isPresent();
      Duration limit = scored ? policy.scoreTimeout() : policy.publishTimeout();
      boolean complete = state.phase() == Phase.DONE && state.text().isComplete();
      if (complete && now.minus(state.changedAt()).compareTo(limit) > 0) {
        publishText(state);
      }
    }
  }

  private void publishText(ItemState state) {
    state.markChanged(clock.elapsed());
    port.publishCompleted(state.job(), state.item(), state.text());
  }

  private void place(Duration now, Instant wallTime) {
    List<Runner> runners = new ArrayList<>(port.runners());
    if (runners.isEmpty()) {
      return;
    }
    Map<ServiceName, List<ItemState>> waiting = new LinkedHashMap<>();
    for (ItemState s : items.values()) {
      if (s.phase() == Phase.WAITING) {
        waiting.computeIfAbsent(s.job().head().service(), k -> new ArrayList<>()).add(s);
      }
    }
    waiting.forEach(
        (service, states) ->
            Callbacks.runReported(() -> place(service, states, runners, now, wallTime)));
  }

  private void place(
      ServiceName service,
      List<ItemState> waiting,
      List<Runner> runners,
      Duration now,
      Instant wallTime) {
    Collection<EngineLoad> pool = engines(service);
    if (pool.stream().allMatch(e -> e.freeSlots() <= 0)) {
      logWaiting(service, waiting, pool, now);
      return;
    }
    int tokensPerEvent = pool.stream().mapToInt(EngineLoad::tokensPerEvent).findFirst().orElse(1);
    List<ItemState> unplaced = new ArrayList<>();
    for (ItemState state : placer.order(waiting, tokensPerEvent)) {
      dropTextIfUnservable(state, pool, now);
      Optional<EngineLoad> engine = placer.chooseEngine(state, pool, allowed(state), now);
      if (engine.isPresent()) {
        start(state, engine.get(), runnerFor(engine.get(), runners), now, wallTime);
      } else {
        unplaced.add(state);
      }
    }
    logWaiting(service, unplaced, pool, now);
  }

  /** Logs at a limited rate how many items wait for each cause. */
  private void logWaiting(
      ServiceName service, List<ItemState> unplaced, Collection<EngineLoad> pool, Duration now) {
    if (unplaced.isEmpty() || now.compareTo(nextWaitLogAt) < 0) {
      return;
    }
    nextWaitLogAt = now.plus(WAIT_LOG_PERIOD);
    Map<WaitCause, Integer> causes = new EnumMap<>(WaitCause.class);
    unplaced.forEach(s -> causes.merge(waitCause(s, pool, now), 1, Integer::sum));
    port.logWaiting(service, causes);
  }

  private WaitCause waitCause(ItemState state, Collection<EngineLoad> pool, Duration now) {
    if (state.isPaused(now)) {
      return WaitCause.REFUSED;
    }
    WaitCause nearest = WaitCause.NO_ENGINE;
    for (EngineLoad e : pool) {
      WaitCause cause =
          !VersionConstraint.allows(state, e)
              ? WaitCause.VERSION
              : !isInRotation(state, e)
                  ? WaitCause.LOADING
                  : e.isPaused(now)
                      ? WaitCause.PAUSED
                      : e.freeSlots() <= 0 ? WaitCause.SLOTS : WaitCause.MEMORY;
      nearest = cause.compareTo(nearest) > 0 ? cause : nearest;
    }
    return nearest;
  }

  private Predicate<EngineLoad> allowed(ItemState state) {
    return e -> isInRotation(state, e) && VersionConstraint.allows(state, e);
  }

  /** Returns which engines may run an item from its first event. */
  private Predicate<EngineLoad> allowedFromStart(ItemState state) {
    return e -> isInRotation(state, e) && VersionConstraint.allowsFromStart(state, e);
  }

  private boolean isInRotation(ItemState state, EngineLoad e) {
    InstanceId engine = e.entry().announcement().instance();
    String model = state.job().content().model();
    return port.isInRotation(engine, model)
        && !(VersionConstraint.needsSingleVersion(state) && port.awaitsLoad(engine, model));
  }

  /** Drops the text of a waiting item that it can't continue soon; the item begins again. */
  private void dropTextIfUnservable(ItemState state, Collection<EngineLoad> pool, Duration now) {
    Optional<WeightVersion> required = VersionConstraint.requiredVersion(state);
    if (required.isEmpty() || !mustBeginAgain(state, pool, now)) {
      return;
    }
    port.logDecision(
        Decision.TEXT_DROPPED,
        state.job().id(),
        state.item().id(),
        "version",
        required.get(),
        "events",
        state.text().eventCount(),
        "waited",
        now.minus(state.textChangedAt()).toMillis());
    state.replaceText(RunText.empty(), now);
  }

  private boolean mustBeginAgain(ItemState state, Collection<EngineLoad> pool, Duration now) {
    if (!VersionConstraint.isVersionReachable(state, pool)) {
      return true;
    }
    boolean waitedTooLong = now.minus(state.textChangedAt()).compareTo(policy.maxVersionWait()) > 0;
    return waitedTooLong
        && placer.chooseEngine(state, pool, allowed(state), now).isEmpty()
        && placer.chooseEngine(state, pool, allowedFromStart(state), now).isPresent();
  }

  private void start(
      ItemState state, EngineLoad engine, InstanceId runner, Duration now, Instant wallTime) {
    long run = nextRun++;
    runs.put(run, state);
    state.startRun(run, runner, engine, now);
    ServerEntry entry = engine.entry();
    Instant end = state.job().head().acceptedAt().plus(state.job().head().rules().retention());
    RunOrder order =
        new RunOrder(
            run,
            state.job().id(),
            state.item(),
            state.job().head().host(),
            entry.announcement().instance(),
            entry.address(),
            state.text().toDelta(),
            state.job().content().minVersion(),
            VersionConstraint.requiredVersion(state),
            VersionConstraint.needsSingleVersion(state),
            Duration.between(wallTime, end),
            state.job().head().account());
    port.logDecision(
        Decision.PLACED,
        state.job().id(),
        state.item().id(),
        "run",
        run,
        "engine",
        entry.announcement().instance(),
        "runner",
        runner,
        "done",
        state.text().eventCount(),
        "left",
        state.eventsLeft(engine.tokensPerEvent()));
    port.start(runner, order);
  }

  /**
   * Returns the runner for an engine's runs. All runs of an engine go to the same runner of its
   * availability zone, so that few connections serve many runs. A runner with less than half the
   * CPU capacity of the largest one is used only if its zone has no other.
   */
  private static InstanceId runnerFor(EngineLoad engine, List<Runner> runners) {
    long key = Rendezvous.key(engine.entry().announcement().instance().value());
    int maxMilliCores = runners.stream().mapToInt(Runner::milliCores).max().orElse(0);
    Comparator<Runner> byCapacity = Comparator.comparing(r -> 2 * r.milliCores() >= maxMilliCores);
    Comparator<Runner> byZone =
        Comparator.comparing(r -> r.zone().equals(engine.entry().announcement().zone()));
    Comparator<Runner> byHash =
        Comparator.comparingLong(r -> Rendezvous.score(key, r.id().value()));
    return runners.stream()
        .max(byZone.thenComparing(byCapacity).thenComparing(byHash))
        .orElseThrow()
        .id();
  }

  private Collection<EngineLoad> engines(ServiceName service) {
    Optional<EngineSpec> spec = specs.apply(service);
    if (spec.isEmpty()) {
      return List.of();
    }
    List<EngineLoad> out = new ArrayList<>();
    for (ServerEntry entry : port.engines(service)) {
      out.add(updateLoad(entry, spec.get()));
    }
    return out;
  }

  private EngineLoad updateLoad(ServerEntry entry, EngineSpec spec) {
    EngineLoad load =
        engines.computeIfAbsent(
            entry.announcement().instance(),
            id -> new EngineLoad(entry, spec, policy.initialInterval()));
    load.update(entry, spec);
    return load;
  }

  private Optional<EngineLoad> engine(ServiceName service, InstanceId id) {
    engines(service);
    return Optional.ofNullable(engines.get(id));
  }

  private void endRun(ItemState state, Phase next) {
    if (state.phase() == Phase.RUNNING) {
      port.cancel(state.runner(), state.run());
    }
    removeRun(state, next);
  }

  private void removeRun(ItemState state, Phase next) {
    runs.remove(state.run());
    state.clearRun(next, clock.elapsed());
  }

  private void logRunEnd(ItemState state, Object why) {
    port.logDecision(
        Decision.RUN_ENDED,
        state.job().id(),
        state.item().id(),
        "run",
        state.run(),
        "events",
        state.text().eventCount(),
        "why",
        why);
  }
}
