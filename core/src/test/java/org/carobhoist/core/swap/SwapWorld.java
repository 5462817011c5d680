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
final class SwapWorld {

  static final ServiceName MODEL = new ServiceName("horno-lm");

  private static final InstanceId SELF = new InstanceId("engine-1");
  private static final Duration LATENCY = Duration.ofMillis(20);
  private static final Duration TICK = Duration.ofMillis(100);

  /** Rules that mutation tests replace. */
  record Rules(
      Predicate<Optional<WeightVersion>> readBackCounts, boolean dropsOldFences, boolean probes) {

    static final Rules TRUE_RULES = new Rules(v -> true, true, true);
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
  private int runs;
  private boolean logDown;
  private Duration pausedUntil = Duration.ZERO;

  /** Injects faults into calls to the engine. */
  interface CallFault {

    /**
     * Returns the task to run in place of {@code answer}, which executes the call without a fault.
     */
    Runnable apply(Step step, Runnable answer);
  }

  SwapWorld(boolean checksFence, Rules rules) {
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
    int mine = ++runs;
    sidecar = SwapCoordinator.create(SELF, new Port(mine), policy(), clock);
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
    boolean mistaken = !inForce && !rules.dropsOldFences();
    deliverLater(mistaken ? new WeightOrder(MODEL, order.version(), Long.MAX_VALUE) : order);
  }

  void deliverLater(WeightOrder order) {
    int mine = runs;
    queue.after(LATENCY, () -> whenAwake(mine, () -> sidecar.onOrder(order)));
  }

  /** Returns the first violation of the run or of its final state, or empty. */
  Optional<String> verdict() {
    Optional<WeightVersion> wanted = log.order(MODEL).map(WeightOrder::version);
    if (!engine.serves().equals(wanted)) {
      violations.add("engine serves " + engine.serves() + ", ordered " + wanted);
    }
    if (!sidecar.isInRotation() || !sidecar.served().equals(wanted)) {
      violations.add("announced " + sidecar.served() + " rotation " + sidecar.isInRotation());
    }
    return violations.isEmpty() ? Optional.empty() : Optional.of(violations.get(0));
  }

  private SwapPolicy policy() {
    SwapPolicy d = SwapPolicy.DEFAULT;
    Duration probe = rules.probes() ? d.probePeriod() : Duration.ofDays(1);
    return new SwapPolicy(
        d.waves(),
        d.waveTime(),
        d.firstBackOff(),
        d.maxBackOff(),
        probe,
        d.callTimeout(),
        d.pauseLimit());
  }

  private void tick() {
    queue.after(TICK, this::tick);
    if (isAwake()) {
      sidecar.tick();
    }
  }

  private boolean isAwake() {
    return clock.elapsed().compareTo(pausedUntil) >= 0;
  }

  /** Runs an event of a sidecar; a paused one runs it when it continues, a replaced one never. */
  private void whenAwake(int run, Runnable event) {
    if (run != runs) {
      return;
    }
    if (isAwake()) {
      event.run();
      return;
    }
    queue.after(pausedUntil.minus(clock.elapsed()), () -> whenAwake(run, event));
  }

  private final class Port implements SwapPort {

    private final int run;

    private Port(int run) {
      this.run = run;
    }

    @Override
    public void prefetch(long call, WeightOrder order) {
      exchange(Step.PREFETCH, () -> answer(call, engine.prefetch(order)));
    }

    @Override
    public void load(long call, WeightOrder order) {
      if (sidecar.isInRotation()) {
        violations.add("loads while in rotation");
      }
      exchange(Step.LOAD, () -> answer(call, engine.load(order)));
    }

    @Override
    public void readServed(long call) {
      exchange(
          Step.READ,
          () -> {
            Optional<WeightVersion> told = engine.serves();
            Optional<WeightVersion> taken =
                rules.readBackCounts().test(told)
                    ? told
                    : log.order(MODEL).map(WeightOrder::version);
            queue.after(LATENCY, () -> whenAwake(run, () -> sidecar.onServed(call, taken)));
          });
    }

    @Override
    public void readLog() {
      if (!logDown) {
        Duration sentAt = clock.elapsed();
        queue.after(LATENCY, () -> whenAwake(run, () -> onLogRead(sentAt)));
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

    private void exchange(Step step, Runnable arrive) {
      int mine = run;
      queue.after(LATENCY, fault.apply(step, arrive));
      if (mine != runs) {
        violations.add("a replaced sidecar gives orders");
      }
    }

    private void answer(long call, SwapEvent outcome) {
      queue.after(LATENCY, () -> whenAwake(run, () -> sidecar.onCall(call, outcome)));
    }
  }
}
