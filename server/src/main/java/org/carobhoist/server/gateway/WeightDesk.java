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
 * Keeps every engine at the version that its trainer has named, while this process coordinates;
 * {@link LoadTurns} says when an engine loads.
 */
final class WeightDesk {

  /** Engines that load at once; more of them make each load longer. */
  private static final int LOADS_AT_ONCE = 2;

  /** Part of the engines that load at once where that is more; the users' sheets name 10 of 35. */
  private static final double LOADS_SHARE = 0.27;

  /**
   * Models that an engine follows. With two, the loads that half of the engines make for each
   * version keep the turns of loads busy for about four fifths of the time between two versions.
   */
  private static final int MODELS_PER_ENGINE = 2;

  /** A run that ends within the time of a load loses less by waiting than by the pause. */
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

  /** What the desk asks of the process around it. */
  interface Surroundings {

    /** Returns how many runs of a model an engine has. */
    int runsAt(InstanceId engine, String model);

    /** Returns how long an engine's longest run of a model is expected to go on. */
    Duration longestRunAt(InstanceId engine, String model);

    /** Returns the newest version of a model that an open job demands. */
    WeightVersion demanded(String model);

    /** Reads the lease's shard to its end. */
    CompletableFuture<Void> readLease();

    /** Takes the version of a model that an engine says it serves. */
    void onServed(InstanceId engine, String model, WeightVersion version);

    /** Takes an engine that says it leaves. */
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

  /** Takes the newest version of a model that its trainer has named. */
  void onNamed(String model, WeightVersion version) {
    WeightVersion known = named.get(model);
    if (known == null || known.compareTo(version) < 0) {
      named.put(model, version);
      swaps().stream().filter(s -> s.model().equals(model)).forEach(EngineSwap::order);
    }
  }

  /** Takes the engines of a service that take work now, and the models that they serve. */
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

  /** Returns an engine's present life. */
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

  /** Takes an engine that is gone or leaves. */
  void onGone(InstanceId engine) {
    engines.remove(engine);
  }

  /** Forgets everything; another process coordinates. */
  void clear() {
    engines.clear();
    shares.clear();
  }

  /** Lets time pass; to be called several times a second while this process coordinates. */
  void tick() {
    swaps().forEach(EngineSwap::tick);
  }

  /** Returns whether an engine may be given runs of a model; of any model if it is empty. */
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

  /** Takes an engine's word that a later term has ordered it. */
  void onFenced(long fence) {
    fencedTerm = fence;
  }

  /** Returns whether a swap is still this desk's. */
  boolean isFollowed(EngineSwap swap) {
    OrderedEngine engine = engines.get(swap.engine().id());
    return engine != null && engine.swaps().get(swap.model()) == swap;
  }

  /** Returns the engines that are followed. */
  Set<InstanceId> followed() {
    return Set.copyOf(engines.keySet());
  }

  /** Returns the newest version of a model that was named. */
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
