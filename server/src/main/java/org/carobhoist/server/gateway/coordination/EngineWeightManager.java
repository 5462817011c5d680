package org.carobhoist.server.gateway.coordination;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.carobhoist.core.common.Clock;
import org.carobhoist.core.common.InstanceId;
import org.carobhoist.core.common.ServiceName;
import org.carobhoist.core.common.WeightVersion;
import org.carobhoist.core.lease.LeaseManager;
import org.carobhoist.core.membership.ServerEntry;
import org.carobhoist.core.swap.LoadScheduler;
import org.carobhoist.core.swap.ModelAssignment;
import org.carobhoist.core.swap.SwapState;
import org.carobhoist.server.gateway.upstream.UpstreamClients;
import org.carobhoist.server.runtime.DecisionLoop;

/**
 * Keeps the weights of all engines at the newest versions set by their trainers while this process
 * coordinates. {@link LoadScheduler} decides when an engine may load.
 */
public final class EngineWeightManager {

  /** Engines that may always load at the same time; more of them make each load slower. */
  private static final int MIN_CONCURRENT_LOADS = 2;

  /**
   * Fraction of the engines that may load at the same time, if that is more; the users'
   * requirements name 10 of 35.
   */
  private static final double CONCURRENT_LOAD_FRACTION = 0.27;

  /**
   * Number of models whose new versions an engine loads. With two, half of the engines load each
   * version, and these loads occupy the permitted concurrent loads for about four fifths of the
   * time between two versions.
   */
  private static final int MODELS_PER_ENGINE = 2;

  /**
   * Runs that are expected to end within this time don't prevent a load. Such a run loses less if
   * it waits during the load than if the load is delayed for it.
   */
  private static final Duration SHORT_RUN_TIME = Duration.ofMillis(600);

  /**
   * Maximum time that a load waits for runs that need a single version. No new ones start at the
   * engine meanwhile, and items must not be without an engine for 5 s.
   */
  private static final Duration MAX_RUN_END_WAIT = Duration.ofSeconds(3);

  private final InstanceId self;
  private final DecisionLoop loop;
  private final Clock clock;
  private final UpstreamClients upstreams;
  private final LeaseManager lease;
  private final Environment environment;
  private final Map<InstanceId, EngineClient> engines = new LinkedHashMap<>();
  private final Map<ServiceName, ModelAssignment> assignments = new HashMap<>();
  private final Map<String, WeightVersion> newestVersions = new HashMap<>();
  private final LoadScheduler loadScheduler =
      LoadScheduler.create(MIN_CONCURRENT_LOADS, CONCURRENT_LOAD_FRACTION, SHORT_RUN_TIME);
  private final Map<EngineSwap, Duration> awaitingRunEndsSince = new HashMap<>();
  private long fencedTerm = -1;

  /** Services that the rest of the process provides. */
  public interface Environment {

    /** Returns the number of runs of a model on an engine. */
    int runCountAt(InstanceId engine, String model);

    /** Returns the number of runs of a model on an engine that need a single version. */
    int singleVersionRunCountAt(InstanceId engine, String model);

    /** Returns the longest expected remaining time of the runs of a model on an engine. */
    Duration longestRemainingTimeAt(InstanceId engine, String model);

    /** Returns the newest version of a model that an open job requires. */
    WeightVersion newestRequiredVersion(String model);

    /** Completes when the shard of the lease has been read to its end. */
    CompletableFuture<Void> readLeaseShard();

    /** Called when an engine has reported which version of a model it serves. */
    void onServedVersion(InstanceId engine, String model, WeightVersion version);

    /** Called when an engine has reported that it is shutting down. */
    void onEngineLeaving(InstanceId engine);
  }

  /** Creates a manager without engines. */
  public EngineWeightManager(
      InstanceId self,
      DecisionLoop loop,
      Clock clock,
      UpstreamClients upstreams,
      LeaseManager lease,
      Environment environment) {
    this.self = self;
    this.loop = loop;
    this.clock = clock;
    this.upstreams = upstreams;
    this.lease = lease;
    this.environment = environment;
  }

  /** Called when a trainer has set a version of a model; older versions are ignored. */
  public void onVersionSet(String model, WeightVersion version) {
    WeightVersion known = newestVersions.get(model);
    if (known == null || known.compareTo(version) < 0) {
      newestVersions.put(model, version);
      swaps().stream().filter(s -> s.model().equals(model)).forEach(EngineSwap::orderNewest);
    }
  }

  /** Updates which engines of a service accept work and which of its models each keeps current. */
  void onEngines(ServiceName service, List<String> models, Collection<ServerEntry> entries) {
    if (models.isEmpty()) {
      return;
    }
    List<ModelAssignment.EngineWeights> engineVersions =
        entries.stream()
            .map(e -> new ModelAssignment.EngineWeights(e.announcement().instance(), e.versions()))
            .toList();
    Map<InstanceId, Set<String>> modelsByEngine =
        assignments
            .computeIfAbsent(service, k -> ModelAssignment.create(MODELS_PER_ENGINE))
            .assign(engineVersions, models, newestVersions);
    for (EngineClient engine : engines.values()) {
      Set<String> assignedModels = modelsByEngine.getOrDefault(engine.id(), Set.of());
      engine
          .swaps()
          .values()
          .removeIf(s -> s.service().equals(service) && !assignedModels.contains(s.model()));
    }
    for (ServerEntry e : entries) {
      EngineClient engine = engine(e);
      modelsByEngine.get(engine.id()).forEach(model -> addSwap(service, model, engine, e));
    }
  }

  /** Returns the client of an engine's current incarnation, and creates it if necessary. */
  private EngineClient engine(ServerEntry e) {
    InstanceId id = e.announcement().instance();
    EngineClient known = engines.get(id);
    if (known != null && known.isIncarnation(e.address(), e.writeOrder().startedAtMillis())) {
      return known;
    }
    EngineClient engine =
        new EngineClient(
            id,
            e.address(),
            e.writeOrder().startedAtMillis(),
            upstreams,
            loop,
            environment::onEngineLeaving);
    engines.put(id, engine);
    return engine;
  }

  private void addSwap(ServiceName service, String model, EngineClient engine, ServerEntry e) {
    if (!engine.swaps().containsKey(model)) {
      EngineSwap swap = new EngineSwap(this, engine, service, model, clock);
      engine.swaps().put(model, swap);
      swap.start(e.versions().get(model));
    }
  }

  /** Called when an engine has been unregistered or is shutting down. */
  void onEngineGone(InstanceId engine) {
    engines.remove(engine);
  }

  /** Removes all engines, because this process no longer coordinates. */
  void clear() {
    engines.clear();
    assignments.clear();
  }

  /** Advances all swaps; must be called several times a second while this process coordinates. */
  void tick() {
    awaitingRunEndsSince.keySet().retainAll(swaps());
    swaps().forEach(EngineSwap::tick);
  }

  /**
   * Returns whether an engine may be assigned runs of a model.
   *
   * @param model the model; if it is empty, the engine must not be loading any model
   */
  boolean isInRotation(InstanceId id, String model) {
    EngineClient engine = engines.get(id);
    return engine == null || !(model.isEmpty() ? engine.isLoading() : engine.isLoading(model));
  }

  /**
   * Returns whether an engine loads another version of a model as soon as its runs that need a
   * single version have ended.
   */
  boolean awaitsLoad(InstanceId id, String model) {
    EngineClient engine = engines.get(id);
    EngineSwap swap = engine == null ? null : engine.swaps().get(model);
    return swap != null
        && swap.state() == SwapState.AWAITING_TURN
        && awaitingRunEndsSince.containsKey(swap);
  }

  /**
   * Returns whether a swap may order its engine to load now. Runs that need a single version end
   * first if that doesn't take long, because the engine would continue them with the new weights.
   */
  boolean mayLoad(EngineSwap swap) {
    boolean next = isNextToLoad(swap);
    if (next && shouldAwaitRunEnds(swap)) {
      return false;
    }
    awaitingRunEndsSince.remove(swap);
    return next;
  }

  private boolean shouldAwaitRunEnds(EngineSwap swap) {
    InstanceId engine = swap.engine().id();
    if (environment.singleVersionRunCountAt(engine, swap.model()) == 0) {
      return false;
    }
    Duration now = clock.elapsed();
    Duration since = awaitingRunEndsSince.computeIfAbsent(swap, k -> now);
    Duration expected = environment.longestRemainingTimeAt(engine, swap.model());
    return expected.compareTo(MAX_RUN_END_WAIT) <= 0
        && now.minus(since).compareTo(MAX_RUN_END_WAIT) < 0;
  }

  private boolean isNextToLoad(EngineSwap swap) {
    if (!mayIssueOrders() || swap.engine().isLoading()) {
      return false;
    }
    int loading = 0;
    int enginesOfModel = 0;
    List<LoadScheduler.Candidate> candidates = new ArrayList<>();
    for (EngineSwap s : swaps()) {
      boolean sameModel = s.service().equals(swap.service()) && s.model().equals(swap.model());
      enginesOfModel += sameModel ? 1 : 0;
      if (s.state() == SwapState.LOADING) {
        loading++;
      } else if (sameModel && s.state() == SwapState.AWAITING_TURN) {
        candidates.add(s.candidate());
      }
    }
    return loadScheduler
        .next(candidates, loading, enginesOfModel, engines.size())
        .contains(swap.engine().id());
  }

  /** Returns whether this process may send an order right now. */
  boolean mayIssueOrders() {
    return lease.mayIssueOrders() && lease.term() != fencedTerm;
  }

  /** Called right before an order is sent. */
  void onOrderSent() {
    lease.onOrderSent();
  }

  /** Called when an order has been answered or its answer is no longer awaited. */
  void onOrderEnded(boolean mayArriveLater) {
    lease.onOrderEnded(mayArriveLater);
  }

  /** Called when an engine rejected an order because it has received one with a later term. */
  void onFenced(long fence) {
    fencedTerm = fence;
  }

  /** Returns whether a swap is still the current one for its engine and model. */
  boolean isCurrent(EngineSwap swap) {
    EngineClient engine = engines.get(swap.engine().id());
    return engine != null && engine.swaps().get(swap.model()) == swap;
  }

  /** Returns all engines whose weights this process manages. */
  Set<InstanceId> engineIds() {
    return Set.copyOf(engines.keySet());
  }

  /** Returns the newest version of a model that its trainer has set. */
  Optional<WeightVersion> newestVersion(String model) {
    return Optional.ofNullable(newestVersions.get(model));
  }

  InstanceId self() {
    return self;
  }

  long term() {
    return lease.term();
  }

  DecisionLoop loop() {
    return loop;
  }

  Environment environment() {
    return environment;
  }

  private List<EngineSwap> swaps() {
    return engines.values().stream().flatMap(e -> e.swaps().values().stream()).toList();
  }
}
