package org.carobhoist.core.swap;

import java.time.Duration;
import java.util.Optional;
import org.carobhoist.core.chart.ChartReader;
import org.carobhoist.core.chart.ChartRun;
import org.carobhoist.core.chart.StateChart;
import org.carobhoist.core.common.Clock;
import org.carobhoist.core.common.InstanceId;
import org.carobhoist.core.common.WeightVersion;

/**
 * Brings one engine to the weight version that is ordered, by the chart {@code swap}: prefetch
 * while the old version is served, wait for this engine's turn, load, read back what the engine
 * truly serves, announce that. A load whose outcome is unknown is read back, never assumed; until
 * then the endpoint is out of rotation. An engine that serves something else than ordered, such as
 * one that was restarted with old weights, is found by a probe and brought up to date.
 *
 * <p>Old orders: only an order with a higher fencing number replaces the present one. A process
 * that was paused may hold an order that has been replaced since; it reads the log again before its
 * next order to the engine, so that an engine that ignores fencing numbers isn't taken back by it.
 */
public final class SwapCoordinator {

  private static final StateChart<SwapState, SwapEvent, SwapAction> CHART =
      ChartReader.readResource("swap", SwapState.class, SwapEvent.class, SwapAction.class);

  private final SwapPort port;
  private final SwapPolicy policy;
  private final Clock clock;
  private final TurnRule turns;
  private final ChartRun<SwapState, SwapEvent, SwapAction> run;
  private Optional<WeightOrder> order = Optional.empty();
  private Optional<WeightVersion> served = Optional.empty();
  private Duration orderedAt = Duration.ZERO;
  private Duration wakeAt = Duration.ZERO;
  private Duration callExpiry = Duration.ZERO;
  private Duration lastTick;
  private Duration pausedUntil = Duration.ZERO;
  private Duration nextLogRead = Duration.ZERO;
  private boolean mustReadLog;
  private boolean inRotation;
  private int failures;
  private long call;

  private SwapCoordinator(SwapPort port, SwapPolicy policy, Clock clock, TurnRule turns) {
    this.port = port;
    this.policy = policy;
    this.clock = clock;
    this.turns = turns;
    this.lastTick = clock.elapsed();
    this.run = ChartRun.start(CHART, this::act);
  }

  /** Returns the coordinator of the engine beside the given instance. */
  public static SwapCoordinator create(
      InstanceId self, SwapPort port, SwapPolicy policy, Clock clock) {
    TurnRule waves =
        (order, since) -> since.compareTo(SwapTurn.delay(self, port.peers(), order, policy)) >= 0;
    return new SwapCoordinator(port, policy, clock, waves);
  }

  /** Returns the coordinator of an engine whose turn another rule decides. */
  public static SwapCoordinator create(
      SwapPort port, SwapPolicy policy, Clock clock, TurnRule turns) {
    return new SwapCoordinator(port, policy, clock, turns);
  }

  /** Returns the chart that every swap follows. */
  public static StateChart<SwapState, SwapEvent, SwapAction> chart() {
    return CHART;
  }

  /** Begins by reading what the engine serves. */
  public void start() {
    act(SwapAction.READ);
  }

  /** Takes an order that is in force; one with a lower fencing number than known is dropped. */
  public void onOrder(WeightOrder next) {
    if (order.isPresent() && next.fence() <= order.get().fence()) {
      return;
    }
    order = Optional.of(next);
    orderedAt = clock.elapsed();
    failures = 0;
    run.fire(SwapEvent.ORDER);
  }

  /** Takes the end of a call; that of a call given up is dropped. */
  public void onCall(long ofCall, SwapEvent outcome) {
    if (ofCall == call) {
      run.fire(outcome);
    }
  }

  /**
   * Takes what the engine says it serves.
   *
   * @param version the version, or empty if it serves no whole one
   */
  public void onServed(long ofCall, Optional<WeightVersion> version) {
    if (ofCall != call || run.state() != SwapState.READING_BACK) {
      return;
    }
    served = version;
    run.fire(compare(version));
  }

  /**
   * Takes a read of the log that has been folded.
   *
   * @param sentAt when the read was sent, by {@link Clock#elapsed()}
   */
  public void onLogRead(Duration sentAt) {
    if (sentAt.compareTo(pausedUntil) >= 0) {
      mustReadLog = false;
    }
  }

  /** Lets time pass; to be called several times a second. */
  public void tick() {
    Duration now = clock.elapsed();
    notePause(now);
    if (awaitsCall() && now.compareTo(callExpiry) >= 0) {
      call++;
      run.fire(SwapEvent.FAILED);
    } else if (!awaitsCall() && now.compareTo(wakeAt) >= 0) {
      run.fire(SwapEvent.TIMER);
    }
    if (run.state() == SwapState.AWAITING_TURN && isTurn(now)) {
      run.fire(SwapEvent.TURN);
    }
  }

  /** Returns the version that the engine said it serves, when it was last read. */
  public Optional<WeightVersion> served() {
    return served;
  }

  /** Returns whether the endpoint takes new work. */
  public boolean isInRotation() {
    return inRotation;
  }

  /** Returns the order in force. */
  public Optional<WeightOrder> order() {
    return order;
  }

  /** Returns the present state. */
  public SwapState state() {
    return run.state();
  }

  private void act(SwapAction action) {
    switch (action) {
      case READ -> beginCall(() -> port.readServed(call));
      case PREFETCH -> beginCall(() -> port.prefetch(call, order.orElseThrow()));
      case LOAD -> beginCall(() -> port.load(call, order.orElseThrow()));
      case LEAVE_ROTATION -> setRotation(false);
      case JOIN_ROTATION -> setRotation(true);
      case BACK_OFF -> backOff();
      case REST -> rest();
    }
  }

  private void beginCall(Runnable send) {
    call++;
    callExpiry = clock.elapsed().plus(policy.callTimeout());
    send.run();
  }

  private void setRotation(boolean value) {
    inRotation = value;
    port.announce();
  }

  private void backOff() {
    long factor = 1L << Math.min(failures, Integer.SIZE - 2);
    failures++;
    Duration wait = policy.firstBackOff().multipliedBy(factor);
    wakeAt = clock.elapsed().plus(min(wait, policy.maxBackOff()));
  }

  private void rest() {
    failures = 0;
    wakeAt = clock.elapsed().plus(policy.probePeriod());
  }

  private SwapEvent compare(Optional<WeightVersion> version) {
    if (version.isEmpty()) {
      return order.isPresent() ? SwapEvent.SERVES_NONE : SwapEvent.FAILED;
    }
    boolean right = order.isEmpty() || order.get().version().equals(version.get());
    return right ? SwapEvent.SERVES_TARGET : SwapEvent.SERVES_OTHER;
  }

  private void notePause(Duration now) {
    if (now.minus(lastTick).compareTo(policy.pauseLimit()) > 0) {
      mustReadLog = true;
      pausedUntil = now;
    }
    lastTick = now;
  }

  private boolean awaitsCall() {
    return switch (run.state()) {
      case READING_BACK, PREFETCHING, LOADING -> true;
      case SETTLED, AWAITING_TURN, BACKING_OFF -> false;
    };
  }

  private boolean isTurn(Duration now) {
    if (mustReadLog) {
      askForLog(now);
      return false;
    }
    return turns.isTurn(order.orElseThrow(), now.minus(orderedAt));
  }

  private void askForLog(Duration now) {
    if (now.compareTo(nextLogRead) >= 0) {
      nextLogRead = now.plus(policy.maxBackOff());
      port.readLog();
    }
  }

  private static Duration min(Duration a, Duration b) {
    return a.compareTo(b) < 0 ? a : b;
  }
}
