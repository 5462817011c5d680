package org.carobhoist.server.gateway;

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
import org.carobhoist.core.lease.LeaseKeeper;
import org.carobhoist.core.membership.ServerEntry;
import org.carobhoist.core.swap.LoadTurns;
import org.carobhoist.core.swap.ModelShares;
import org.carobhoist.core.swap.SwapState;
import org.carobhoist.server.runtime.DecisionLoop;

/**
 * Keeps the weights of all engines at the newest versions set by their trainers while this process
 * coordinates. {@link LoadTurns} decides when an engine may load.
 */
final class WeightDesk {

  /** Engines that may always load at the same time; more of them make each load slower. */
  private static final int LOADS_AT_ONCE = 2;

  /**
   * Fraction of the engines that may load at the same time, if that is more; the users'
   * requirements name 10 of 35.
   */
  private static final double LOADS_SHARE = 0.27;

  /**
   * Models that an engine follows. With two, half of the engines load each version, and these loads
   * occupy the load slots for about four fifths of the time between two versions.
   */
  private static final int MODELS_PER_ENGINE = 2;

  /**
   * Runs that are expected to end within this time don't prevent a load. Such a run loses less if
   * it waits during the load than if the load is delayed for it.
   */
  private static final Duration SHORT_RUN = Duration.ofMillis(600);

  private final InstanceId self;
  private final DecisionLoop loop;
  private final Clock clock;
  private final Upstreams upstreams;
  private final LeaseKeeper lease;
  private final Surroundings surroundings;
  private final Map<InstanceId, OrderedEngine> engines = new LinkedHashMap<>();
  private final Map<ServiceName, ModelShares> shares = new HashMap<>();
  private final Map<String, WeightVersion> named = new HashMap<>();
  private final LoadTurns turns = LoadTurns.create(LOADS_AT_ONCE, LOADS_SHARE, SHORT_RUN);
  private long fencedTerm = -1;

  /** Services that the rest of the process provides. */
  interface Surroundings {

    /** Returns the number of runs of a model on an engine. */
    int runsAt(InstanceId engine, String model);

    /** Returns the longest expected remaining time of the runs of a model on an engine. */
    Duration longestRunAt(InstanceId engine, String model);

    /** Returns the newest version of a model that an open job requires. */
    WeightVersion demanded(String model);

    /** Completes when the shard of the lease has been read to its end. */
    CompletableFuture<Void> readLease();

    /** Called when an engine has reported which version of a model it serves. */
    void onServed(InstanceId engine, String model, WeightVersion version);

    /** Called when an engine has reported that it is shutting down. */
    void onSaidLeaving(InstanceId engine);
  }

  WeightDesk(
      InstanceId self,
      DecisionLoop loop,
      Clock clock,
      Upstreams upstreams,
      LeaseKeeper lease,
      Surroundings surroundings) {
    this.self = self;
    this.loop = loop;
    this.clock = clock;
    this.upstreams = upstreams;
    this.lease = lease;
    this.surroundings = surroundings;
  }

  /** Called when a trainer has set a version of a model; older versions are ignored. */
  void onNamed(String model, WeightVersion version) {
    WeightVersion known = named.get(model);
    if (known == null || known.compareTo(version) < 0) {
      named.put(model, version);
      swaps().stream().filter(s -> s.model().equals(model)).forEach(EngineSwap::order);
    }
  }

  /** Updates which engines of a service accept work and which of its models they follow. */
  void onEngines(ServiceName service, List<String> models, Collection<ServerEntry> entries) {
    if (models.isEmpty()) {
      return;
    }
    List<ModelShares.Holder> holders =
        entries.stream()
            .map(e -> new ModelShares.Holder(e.announcement().instance(), e.versions()))
            .toList();
    Map<InstanceId, Set<String>> divided =
        shares
            .computeIfAbsent(service, k -> ModelShares.create(MODELS_PER_ENGINE))
            .divide(holders, models, named);
    for (OrderedEngine engine : engines.values()) {
      Set<String> follows = divided.getOrDefault(engine.id(), Set.of());
      engine
          .swaps()
          .values()
          .removeIf(s -> s.service().equals(service) && !follows.contains(s.model()));
    }
    for (ServerEntry e : entries) {
      OrderedEngine engine = engine(e);
      divided.get(engine.id()).forEach(model -> follow(service, model, engine, e));
    }
  }

  /** Returns the client of an engine's current incarnation, and creates it if necessary. */
  private OrderedEngine engine(ServerEntry e) {
    InstanceId id = e.announcement().instance();
    OrderedEngine known = engines.get(id);
    if (known != null && known.isSame(e.address(), e.beat().born())) {
      return known;
    }
    OrderedEngine engine =
        new OrderedEngine(
            id, e.address(), e.beat().born(), upstreams, loop, surroundings::onSaidLeaving);
    engines.put(id, engine);
    return engine;
  }

  private void follow(ServiceName service, String model, OrderedEngine engine, ServerEntry e) {
    if (!engine.swaps().containsKey(model)) {
      EngineSwap swap = new EngineSwap(this, engine, service, model, clock);
      engine.swaps().put(model, swap);
      swap.start(e.versions().get(model));
    }
  }

  /** Called when an engine has been unregistered or is shutting down. */
  void onGone(InstanceId engine) {
    engines.remove(engine);
  }

  /** Removes all engines, because this process no longer coordinates. */
  void clear() {
    engines.clear();
    shares.clear();
  }

  /** Advances all swaps; must be called several times a second while this process coordinates. */
  void tick() {
    swaps().forEach(EngineSwap::tick);
  }

  /**
   * Returns whether an engine may be assigned runs of a model.
   *
   * @param model the model; if it is empty, the engine must not be loading any model
   */
  boolean isInRotation(InstanceId id, String model) {
    OrderedEngine engine = engines.get(id);
    return engine == null || !(model.isEmpty() ? engine.isLoading() : engine.isLoading(model));
  }

  /** Returns whether a swap may order its engine to load now. */
  boolean isTurn(EngineSwap swap) {
    if (!lease.mayOrder() || lease.term() == fencedTerm || swap.engine().isLoading()) {
      return false;
    }
    int loading = 0;
    int followers = 0;
    List<LoadTurns.Candidate> candidates = new ArrayList<>();
    for (EngineSwap s : swaps()) {
      boolean same = s.service().equals(swap.service()) && s.model().equals(swap.model());
      followers += same ? 1 : 0;
      if (s.state() == SwapState.LOADING) {
        loading++;
      } else if (same && s.state() == SwapState.AWAITING_TURN) {
        candidates.add(s.candidate());
      }
    }
    return turns.next(candidates, loading, followers, engines.size()).contains(swap.engine().id());
  }

  /** Called when an engine rejected an order because it has received one with a later term. */
  void onFenced(long fence) {
    fencedTerm = fence;
  }

  /** Returns whether a swap is still the current one for its engine and model. */
  boolean isFollowed(EngineSwap swap) {
    OrderedEngine engine = engines.get(swap.engine().id());
    return engine != null && engine.swaps().get(swap.model()) == swap;
  }

  /** Returns all engines that are kept up to date. */
  Set<InstanceId> followed() {
    return Set.copyOf(engines.keySet());
  }

  /** Returns the newest version of a model that its trainer has set. */
  Optional<WeightVersion> named(String model) {
    return Optional.ofNullable(named.get(model));
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

  Surroundings surroundings() {
    return surroundings;
  }

  private List<EngineSwap> swaps() {
    return engines.values().stream().flatMap(e -> e.swaps().values().stream()).toList();
  }
}
