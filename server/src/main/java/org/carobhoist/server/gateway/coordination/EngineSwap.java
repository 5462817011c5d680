package org.carobhoist.server.gateway.coordination;

import java.time.Duration;
import java.util.Collection;
import java.util.Optional;
import org.carobhoist.core.common.Clock;
import org.carobhoist.core.common.InstanceId;
import org.carobhoist.core.common.ServiceName;
import org.carobhoist.core.common.WeightVersion;
import org.carobhoist.core.swap.LoadScheduler;
import org.carobhoist.core.swap.SwapCoordinator;
import org.carobhoist.core.swap.SwapEvent;
import org.carobhoist.core.swap.SwapPolicy;
import org.carobhoist.core.swap.SwapPort;
import org.carobhoist.core.swap.SwapState;
import org.carobhoist.core.swap.WeightOrder;
import org.carobhoist.platform.EngineOrders;
import org.carobhoist.server.log.EventLog;
import org.carobhoist.server.log.LogEvent;

/** Updates the weights of one model on one engine to the newest version set by its trainer. */
final class EngineSwap implements SwapPort {

  /** Interval at which the engine is polled while it loads. */
  private static final Duration POLL_PERIOD = Duration.ofMillis(250);

  /** Minimum duration of a load; polling starts only after it. */
  private static final Duration MIN_LOAD_DURATION = Duration.ofMillis(800);

  private static final SwapPolicy POLICY =
      new SwapPolicy(
          1,
          Duration.ZERO,
          Duration.ofMillis(200),
          Duration.ofSeconds(1),
          Duration.ofSeconds(8),
          Duration.ofSeconds(8),
          Duration.ofSeconds(1));

  private final EngineWeightManager manager;
  private final EngineClient engine;
  private final ServiceName service;
  private final String model;
  private final Clock clock;
  private final SwapCoordinator coordinator;

  EngineSwap(
      EngineWeightManager manager,
      EngineClient engine,
      ServiceName service,
      String model,
      Clock clock) {
    this.manager = manager;
    this.engine = engine;
    this.service = service;
    this.model = model;
    this.clock = clock;
    this.coordinator =
        SwapCoordinator.create(this, POLICY, clock, (order, since) -> manager.mayLoad(this));
  }

  EngineClient engine() {
    return engine;
  }

  ServiceName service() {
    return service;
  }

  String model() {
    return model;
  }

  SwapState state() {
    return coordinator.state();
  }

  /**
   * Starts the swap. Orders a load only if the registry doesn't show the newest version already.
   *
   * @param registered version of the model in the registry; null if there is none
   */
  void start(WeightVersion registered) {
    Optional<WeightVersion> target = manager.newestVersion(model);
    coordinator.start();
    if (target.isPresent() && !target.get().equals(registered)) {
      orderNewest();
    }
  }

  /** Orders a load of the newest version, if one is known. */
  void orderNewest() {
    manager
        .newestVersion(model)
        .ifPresent(v -> coordinator.onOrder(new WeightOrder(service, v, v.number())));
  }

  void tick() {
    coordinator.tick();
  }

  LoadScheduler.Candidate candidate() {
    return new LoadScheduler.Candidate(
        engine.id(),
        coordinator.served().orElse(new WeightVersion(0)),
        manager.environment().newestRequiredVersion(model),
        manager.environment().runCountAt(engine.id(), model),
        manager.environment().longestRemainingTimeAt(engine.id(), model));
  }

  @Override
  public void prefetch(long call, WeightOrder order) {
    // Engines download the weights as part of the load, so there is nothing to prefetch.
    manager.loop().execute(() -> coordinator.onCallEnded(call, SwapEvent.DONE));
  }

  @Override
  public void load(long call, WeightOrder order) {
    // The lease may have been lost since the load was permitted.
    if (engine.acceptedOrders().isEmpty() || !manager.mayIssueOrders()) {
      manager.loop().execute(() -> coordinator.onCallEnded(call, SwapEvent.FAILED));
      return;
    }
    long fence = manager.term();
    EventLog.info(
        LogEvent.ENGINE_ORDERED,
        "engine",
        engine.id(),
        "model",
        model,
        "version",
        order.version(),
        "fence",
        fence,
        "orders",
        engine.acceptedOrders().getAsLong(),
        "runs",
        manager.environment().runCountAt(engine.id(), model));
    manager.onOrderSent();
    engine.orderLoad(
        model,
        order.version(),
        manager.self(),
        fence,
        (answer, mayArriveLater) -> {
          manager.onOrderEnded(mayArriveLater);
          onAnswer(call, fence, answer);
        });
  }

  private void onAnswer(long call, long fence, EngineOrders.Answer answer) {
    switch (answer) {
      case TAKEN -> manager.loop().after(MIN_LOAD_DURATION, () -> poll(call));
      case HOLDS -> coordinator.onCallEnded(call, SwapEvent.DONE);
      case FENCED -> {
        manager.onFenced(fence);
        coordinator.onCallEnded(call, SwapEvent.REFUSED);
      }
      default -> coordinator.onCallEnded(call, SwapEvent.FAILED);
    }
  }

  /** Polls the engine until the load has ended; the timeout is enforced by the swap coordinator. */
  private void poll(long call) {
    if (coordinator.state() != SwapState.LOADING || !manager.isCurrent(this)) {
      return;
    }
    engine.requestReport(
        model,
        report -> {
          boolean done = report.isPresent() && !report.get().busy();
          if (done) {
            coordinator.onCallEnded(call, SwapEvent.DONE);
          } else {
            manager.loop().after(POLL_PERIOD, () -> poll(call));
          }
        });
  }

  @Override
  public void readServed(long call) {
    engine.requestReport(
        model,
        report -> {
          if (report.isEmpty()) {
            coordinator.onCallEnded(call, SwapEvent.FAILED);
            return;
          }
          report
              .get()
              .version()
              .ifPresent(v -> manager.environment().onServedVersion(engine.id(), model, v));
          coordinator.onServed(call, report.get().version());
        });
  }

  @Override
  public void readLog() {
    Duration sentAt = clock.elapsed();
    manager.environment().readLeaseShard().thenRun(() -> coordinator.onLogRead(sentAt));
  }

  @Override
  public Collection<InstanceId> peers() {
    return manager.engineIds();
  }

  @Override
  public void announce() {
    // Nothing to announce: each placement queries whether the engine is in rotation.
  }
}
