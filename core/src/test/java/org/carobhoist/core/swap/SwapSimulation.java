package org.carobhoist.core.swap;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;
import org.carobhoist.core.common.InstanceId;
import org.carobhoist.core.common.ServiceName;
import org.carobhoist.core.common.WeightVersion;
import org.carobhoist.core.testing.EventQueue;
import org.carobhoist.core.testing.ManualClock;

/**
 * Simulates one engine, its sidecar and a log of orders in virtual time. Faults change what happens
 * to single calls. The simulation checks that the endpoint isn't in rotation when its sidecar
 * orders a load, and that the engine ends with the newest ordered version.
 */
final class SwapSimulation {

  static final ServiceName MODEL = new ServiceName("horno-lm");

  private static final InstanceId SELF = new InstanceId("engine-1");
  private static final Duration LATENCY = Duration.ofMillis(20);
  private static final Duration TICK = Duration.ofMillis(100);

  /** Rules that mutation tests replace. */
  record Rules(
      Predicate<Optional<WeightVersion>> usesReadBack, boolean ignoresOldFences, boolean probes) {

    static final Rules REAL_RULES = new Rules(v -> true, true, true);
  }

  /** The steps of a swap at which a fault can be injected. */
  enum Step {
    PREFETCH,
    LOAD,
    READ
  }

  final ManualClock clock = new ManualClock();
  final EventQueue queue = new EventQueue(clock);
  final SimulatedEngine engine;
  final List<String> violations = new ArrayList<>();

  private final WeightOrders log = WeightOrders.create();
  private final Rules rules;
  private SwapCoordinator sidecar;
  private CallFault fault = (step, call) -> call;
  private int currentRun;
  private boolean logDown;
  private Duration pausedUntil = Duration.ZERO;

  /** Injects faults into calls to the engine. */
  interface CallFault {

    /**
     * Returns the task to run in place of {@code answer}, which executes the call without a fault.
     */
    Runnable apply(Step step, Runnable answer);
  }

  SwapSimulation(boolean checksFence, Rules rules) {
    this.engine = new SimulatedEngine(checksFence, 1);
    this.rules = rules;
    startSidecar();
    tick();
  }

  void setFault(CallFault value) {
    fault = value;
  }

  void setLogDown(boolean value) {
    logDown = value;
  }

  /** Starts a new sidecar process; events of the previous one are ignored. */
  void startSidecar() {
    int run = ++currentRun;
    sidecar = SwapCoordinator.create(SELF, new Port(run), policy(), clock);
    log.order(MODEL).ifPresent(sidecar::onOrder);
    sidecar.start();
  }

  /** Pauses the sidecar's process without its knowledge. */
  void pause(Duration time) {
    pausedUntil = clock.elapsed().plus(time);
  }

  /** Appends an order to the log, which reaches the sidecar after the latency. */
  void order(long version, long fence) {
    WeightOrder order = new WeightOrder(MODEL, new WeightVersion(version), fence);
    boolean inForce = log.apply(order);
    boolean acceptsOldOrder = !inForce && !rules.ignoresOldFences();
    deliverLater(acceptsOldOrder ? new WeightOrder(MODEL, order.version(), Long.MAX_VALUE) : order);
  }

  void deliverLater(WeightOrder order) {
    int run = currentRun;
    queue.after(LATENCY, () -> whenNotPaused(run, () -> sidecar.onOrder(order)));
  }

  /** Returns the first violation of the run or of its final state, or empty. */
  Optional<String> firstViolation() {
    Optional<WeightVersion> wanted = log.order(MODEL).map(WeightOrder::version);
    if (!engine.serves().equals(wanted)) {
      violations.add("engine serves " + engine.serves() + ", ordered " + wanted);
    }
    if (!sidecar.isInRotation() || !sidecar.served().equals(wanted)) {
      violations.add("announced " + sidecar.served() + ", in rotation: " + sidecar.isInRotation());
    }
    return violations.isEmpty() ? Optional.empty() : Optional.of(violations.get(0));
  }

  private SwapPolicy policy() {
    SwapPolicy d = SwapPolicy.DEFAULT;
    Duration probe = rules.probes() ? d.probePeriod() : Duration.ofDays(1);
    return new SwapPolicy(
        d.waves(),
        d.waveInterval(),
        d.firstBackOff(),
        d.maxBackOff(),
        probe,
        d.callTimeout(),
        d.pauseLimit());
  }

  private void tick() {
    queue.after(TICK, this::tick);
    if (isRunning()) {
      sidecar.tick();
    }
  }

  private boolean isRunning() {
    return clock.elapsed().compareTo(pausedUntil) >= 0;
  }

  /** Runs an event of a sidecar; a paused one runs it when it continues, a replaced one never. */
  private void whenNotPaused(int run, Runnable event) {
    if (run != currentRun) {
      return;
    }
    if (isRunning()) {
      event.run();
      return;
    }
    queue.after(pausedUntil.minus(clock.elapsed()), () -> whenNotPaused(run, event));
  }

  private final class Port implements SwapPort {

    private final int run;

    private Port(int run) {
      this.run = run;
    }

    @Override
    public void prefetch(long call, WeightOrder order) {
      callEngine(Step.PREFETCH, () -> answer(call, engine.prefetch(order)));
    }

    @Override
    public void load(long call, WeightOrder order) {
      if (sidecar.isInRotation()) {
        violations.add("loads while in rotation");
      }
      callEngine(Step.LOAD, () -> answer(call, engine.load(order)));
    }

    @Override
    public void readServed(long call) {
      callEngine(
          Step.READ,
          () -> {
            Optional<WeightVersion> served = engine.serves();
            Optional<WeightVersion> reported =
                rules.usesReadBack().test(served)
                    ? served
                    : log.order(MODEL).map(WeightOrder::version);
            queue.after(LATENCY, () -> whenNotPaused(run, () -> sidecar.onServed(call, reported)));
          });
    }

    @Override
    public void readLog() {
      if (!logDown) {
        Duration sentAt = clock.elapsed();
        queue.after(LATENCY, () -> whenNotPaused(run, () -> onLogRead(sentAt)));
      }
    }

    @Override
    public Collection<InstanceId> peers() {
      return List.of(SELF);
    }

    @Override
    public void announce() {
      // The checks read the coordinator directly.
    }

    private void onLogRead(Duration sentAt) {
      log.order(MODEL).ifPresent(sidecar::onOrder);
      sidecar.onLogRead(sentAt);
    }

    private void callEngine(Step step, Runnable deliver) {
      int callerRun = run;
      queue.after(LATENCY, fault.apply(step, deliver));
      if (callerRun != currentRun) {
        violations.add("a replaced sidecar calls the engine");
      }
    }

    private void answer(long call, SwapEvent outcome) {
      queue.after(LATENCY, () -> whenNotPaused(run, () -> sidecar.onCallEnded(call, outcome)));
    }
  }
}
