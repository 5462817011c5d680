package org.carobhoist.server.gateway;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import org.carobhoist.core.common.Clock;
import org.carobhoist.core.common.InstanceId;
import org.carobhoist.core.common.ServiceName;
import org.carobhoist.core.common.WeightVersion;
import org.carobhoist.core.lease.LeaseKeeper;
import org.carobhoist.core.membership.ServerEntry;
import org.carobhoist.core.swap.LoadTurns;
import org.carobhoist.core.swap.ModelShares;
import org.carobhoist.core.swap.SwapCoordinator;
import org.carobhoist.core.swap.SwapEvent;
import org.carobhoist.core.swap.SwapPolicy;
import org.carobhoist.core.swap.SwapPort;
import org.carobhoist.core.swap.SwapState;
import org.carobhoist.core.swap.WeightOrder;
import org.carobhoist.platform.EngineOrders;
import org.carobhoist.server.log.EventLog;
import org.carobhoist.server.log.LogEvent;
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

  /** A run that ends within the time of a load loses less by waiting than by the pause. */
  private static final Duration SHORT_RUN = Duration.ofMillis(600);

  /** Time between two looks at a load in progress. */
  private static final Duration POLL_PERIOD = Duration.ofMillis(250);

  /** Time that a load takes at least. */
  private static final Duration LEAST_LOAD_TIME = Duration.ofMillis(800);

  private static final Duration CALL_TIMEOUT = Duration.ofMillis(800);

  private static final SwapPolicy POLICY =
      new SwapPolicy(
          1,
          Duration.ZERO,
          Duration.ofMillis(200),
          Duration.ofSeconds(1),
          Duration.ofSeconds(8),
          Duration.ofSeconds(8),
          Duration.ofSeconds(1));

  private final InstanceId self;
  private final DecisionLoop loop;
  private final Clock clock;
  private final Upstreams upstreams;
  private final LeaseKeeper lease;
  private final Surroundings surroundings;
  private final Map<Followed, EngineSwap> swaps = new LinkedHashMap<>();
  private final Map<ServiceName, ModelShares> shares = new HashMap<>();
  private final Map<String, WeightVersion> named = new HashMap<>();
  private final LoadTurns turns = LoadTurns.create(LOADS_AT_ONCE, LOADS_SHARE, SHORT_RUN);
  private long fencedTerm = -1;

  /** A model that an engine follows. */
  private record Followed(InstanceId engine, String model) {}

  /** What the desk asks of the process around it. */
  interface Surroundings {

    /** Returns how many runs an engine has. */
    int runsAt(InstanceId engine);

    /** Returns how long an engine's longest run is expected to go on. */
    Duration longestRunAt(InstanceId engine);

    /** Returns the newest version of a model that an open job demands. */
    WeightVersion demanded(String model);

    /** Reads the lease's shard to its end. */
    CompletableFuture<Void> readLease();

    /** Takes the version of a model that an engine says it serves. */
    void onServed(InstanceId engine, String model, WeightVersion version);
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
      swaps.values().forEach(EngineSwap::order);
    }
  }

  /** Takes the engines of a service that take work now, and the models that they serve. */
  void onEngines(ServiceName service, List<String> models, Collection<ServerEntry> engines) {
    if (models.isEmpty()) {
      return;
    }
    List<ModelShares.Holder> holders =
        engines.stream()
            .map(e -> new ModelShares.Holder(e.announcement().instance(), e.versions()))
            .toList();
    Map<InstanceId, Set<String>> divided =
        shares.computeIfAbsent(service, k -> ModelShares.create()).divide(holders, models, named);
    swaps
        .values()
        .removeIf(
            s ->
                s.service.equals(service)
                    && !divided.getOrDefault(s.engine, Set.of()).contains(s.model));
    for (ServerEntry e : engines) {
      divided.get(e.announcement().instance()).forEach(model -> follow(service, model, e));
    }
  }

  private void follow(ServiceName service, String model, ServerEntry e) {
    Followed key = new Followed(e.announcement().instance(), model);
    EngineSwap known = swaps.get(key);
    if (known != null && known.address.equals(e.address()) && known.born == e.beat().born()) {
      return;
    }
    EngineSwap swap = new EngineSwap(key.engine(), service, model, e.address(), e.beat().born());
    swaps.put(key, swap);
    swap.start(e.versions().get(model));
  }

  /** Takes an engine that is gone or leaves. */
  void onGone(InstanceId engine) {
    swaps.keySet().removeIf(k -> k.engine().equals(engine));
  }

  /** Forgets everything; another process coordinates. */
  void clear() {
    swaps.clear();
    shares.clear();
  }

  /** Lets time pass; to be called several times a second while this process coordinates. */
  void tick() {
    List.copyOf(swaps.values()).forEach(s -> s.coordinator.tick());
  }

  /** Returns whether an engine may be given runs. */
  boolean isInRotation(InstanceId engine) {
    return swaps.values().stream()
        .noneMatch(s -> s.engine.equals(engine) && s.coordinator.state() == SwapState.LOADING);
  }

  private boolean isTurn(EngineSwap swap) {
    if (!lease.mayOrder() || lease.term() == fencedTerm || !isInRotation(swap.engine)) {
      return false;
    }
    int loading = 0;
    int followers = 0;
    Set<InstanceId> engines = new HashSet<>();
    List<LoadTurns.Candidate> candidates = new ArrayList<>();
    for (EngineSwap s : swaps.values()) {
      engines.add(s.engine);
      boolean same = s.service.equals(swap.service) && s.model.equals(swap.model);
      followers += same ? 1 : 0;
      if (s.coordinator.state() == SwapState.LOADING) {
        loading++;
      } else if (same && s.coordinator.state() == SwapState.AWAITING_TURN) {
        candidates.add(s.candidate());
      }
    }
    return turns.next(candidates, loading, followers, engines.size()).contains(swap.engine);
  }

  /** One engine's swaps. */
  private final class EngineSwap implements SwapPort {

    private final InstanceId engine;
    private final ServiceName service;
    private final String model;
    private final String address;
    private final long born;
    private final SwapCoordinator coordinator;
    private EngineOrders.Report last;

    private EngineSwap(
        InstanceId engine, ServiceName service, String model, String address, long born) {
      this.engine = engine;
      this.service = service;
      this.model = model;
      this.address = address;
      this.born = born;
      this.coordinator =
          SwapCoordinator.create(this, POLICY, clock, (order, since) -> isTurn(this));
    }

    /** Begins with an order only where the registry doesn't show the version already. */
    private void start(WeightVersion registered) {
      WeightVersion target = named.get(model);
      coordinator.start();
      if (target != null && !target.equals(registered)) {
        order();
      }
    }

    private void order() {
      WeightVersion target = named.get(model);
      if (target != null) {
        coordinator.onOrder(new WeightOrder(service, target, target.number()));
      }
    }

    private LoadTurns.Candidate candidate() {
      return new LoadTurns.Candidate(
          engine,
          coordinator.served().orElse(new WeightVersion(0)),
          surroundings.demanded(model),
          surroundings.runsAt(engine),
          surroundings.longestRunAt(engine));
    }

    @Override
    public void prefetch(long call, WeightOrder order) {
      // The engine fetches with the load itself.
      loop.execute(() -> coordinator.onCall(call, SwapEvent.DONE));
    }

    @Override
    public void load(long call, WeightOrder order) {
      if (last == null) {
        loop.execute(() -> coordinator.onCall(call, SwapEvent.FAILED));
        return;
      }
      long fence = lease.term();
      EventLog.info(
          LogEvent.ENGINE_ORDERED,
          "engine",
          engine,
          "version",
          order.version(),
          "fence",
          fence,
          "orders",
          last.orders(),
          "runs",
          surroundings.runsAt(engine));
      upstreams
          .call(
              address,
              EngineOrders.loadRequest(
                  engine,
                  model,
                  order.version(),
                  EngineOrders.Mode.RETAIN,
                  self,
                  fence,
                  last.orders()),
              CALL_TIMEOUT)
          .aggregate()
          .whenCompleteAsync(
              (reply, failure) ->
                  onAnswer(call, order, fence, failure == null ? reply.status().code() : 0),
              loop);
    }

    private void onAnswer(long call, WeightOrder order, long fence, int status) {
      EngineOrders.Answer answer = EngineOrders.answer(status);
      if (answer != EngineOrders.Answer.TAKEN) {
        EventLog.warn(
            LogEvent.ENGINE_ORDER_FAILED, "engine", engine, "status", status, "fence", fence);
      }
      if (answer == EngineOrders.Answer.FENCED) {
        fencedTerm = fence;
      }
      if (answer == EngineOrders.Answer.TAKEN) {
        loop.after(LEAST_LOAD_TIME, () -> poll(call));
      } else {
        coordinator.onCall(
            call, answer == EngineOrders.Answer.FENCED ? SwapEvent.REFUSED : SwapEvent.FAILED);
      }
    }

    /** Looks until the load has ended; the coordinator gives up by itself after its time. */
    private void poll(long call) {
      if (coordinator.state() != SwapState.LOADING
          || swaps.get(new Followed(engine, model)) != this) {
        return;
      }
      report(
          report -> {
            boolean done = report.isPresent() && !report.get().busy();
            if (done) {
              coordinator.onCall(call, SwapEvent.DONE);
            } else {
              loop.after(POLL_PERIOD, () -> poll(call));
            }
          });
    }

    @Override
    public void readServed(long call) {
      report(
          report -> {
            if (report.isEmpty()) {
              coordinator.onCall(call, SwapEvent.FAILED);
              return;
            }
            report.get().version().ifPresent(v -> surroundings.onServed(engine, model, v));
            coordinator.onServed(call, report.get().version());
          });
    }

    private void report(Consumer<Optional<EngineOrders.Report>> next) {
      upstreams
          .call(address, EngineOrders.reportRequest(engine), CALL_TIMEOUT)
          .aggregate()
          .thenApply(reply -> EngineOrders.report(reply.content().array(), model))
          .whenCompleteAsync(
              (report, failure) -> {
                if (failure == null) {
                  last = report;
                } else {
                  EventLog.warn(
                      LogEvent.ENGINE_REPORT_FAILED, "engine", engine, "why", failure.toString());
                }
                next.accept(Optional.ofNullable(report));
              },
              loop);
    }

    @Override
    public void readLog() {
      Duration sentAt = clock.elapsed();
      surroundings.readLease().thenRun(() -> coordinator.onLogRead(sentAt));
    }

    @Override
    public Collection<InstanceId> peers() {
      return swaps.keySet().stream().map(Followed::engine).collect(Collectors.toSet());
    }

    @Override
    public void announce() {
      // What is in rotation is asked for at each placement.
    }
  }
}
