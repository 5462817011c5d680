package org.carobhoist.core.swap;

import java.time.Duration;
import java.util.Optional;
import org.carobhoist.core.chart.ChartReader;
import org.carobhoist.core.chart.StateChart;
import org.carobhoist.core.chart.StateMachine;
import org.carobhoist.core.common.Clock;
import org.carobhoist.core.common.InstanceId;
import org.carobhoist.core.common.WeightVersion;

/**
 * Brings one engine to the ordered weight version, by the chart {@code swap}: it prefetches the
 * weights while the old version is served, waits until this engine may load, loads, reads back the
 * version that the engine actually serves, and announces that version. If the outcome of a load is
 * unknown, the served version is read back and never assumed; until then the endpoint is out of
 * rotation. A periodic probe detects an engine that doesn't serve the ordered version, such as one
 * that was restarted with old weights, and starts a new swap.
 *
 * <p>Only an order with a higher fencing number replaces the current one. A process that was paused
 * may hold an order that has been replaced meanwhile. It reads the log again before it lets the
 * engine load, since an engine that ignores fencing numbers would otherwise be set back to an old
 * version.
 */
public final class SwapCoordinator {

  private static final StateChart<SwapState, SwapEvent, SwapAction> CHART =
      ChartReader.readResource("swap", SwapState.class, SwapEvent.class, SwapAction.class);

  private final SwapPort port;
  private final SwapPolicy policy;
  private final Clock clock;
  private final LoadCondition loadCondition;
  private final StateMachine<SwapState, SwapEvent, SwapAction> stateMachine;
  private Optional<WeightOrder> order = Optional.empty();
  private Optional<WeightVersion> served = Optional.empty();
  private Duration orderedAt = Duration.ZERO;
  private Duration timerAt = Duration.ZERO;
  private Duration callExpiry = Duration.ZERO;
  private Duration lastTick;
  private Duration pauseDetectedAt = Duration.ZERO;
  private Duration nextLogRead = Duration.ZERO;
  private boolean mustReadLog;
  private boolean inRotation;
  private int failures;
  private long callNumber;

  private SwapCoordinator(
      SwapPort port, SwapPolicy policy, Clock clock, LoadCondition loadCondition) {
    this.port = port;
    this.policy = policy;
    this.clock = clock;
    this.loadCondition = loadCondition;
    this.lastTick = clock.elapsed();
    this.stateMachine = StateMachine.start(CHART, this::execute);
  }

  /**
   * Creates the coordinator of an engine that loads in one of several waves; see {@link
   * WaveSchedule}.
   */
  public static SwapCoordinator create(
      InstanceId self, SwapPort port, SwapPolicy policy, Clock clock) {
    LoadCondition waveCondition =
        (order, sinceOrder) ->
            sinceOrder.compareTo(WaveSchedule.delay(self, port.peers(), order, policy)) >= 0;
    return new SwapCoordinator(port, policy, clock, waveCondition);
  }

  /** Creates the coordinator of an engine whose loads are permitted by the given condition. */
  public static SwapCoordinator create(
      SwapPort port, SwapPolicy policy, Clock clock, LoadCondition loadCondition) {
    return new SwapCoordinator(port, policy, clock, loadCondition);
  }

  /** Returns the chart of the state machine of a swap. */
  public static StateChart<SwapState, SwapEvent, SwapAction> chart() {
    return CHART;
  }

  /** Starts the coordinator by reading the version that the engine serves. */
  public void start() {
    execute(SwapAction.READ);
  }

  /**
   * Called when an order has come into force. An order whose fencing number isn't higher than that
   * of the current order is ignored.
   */
  public void onOrder(WeightOrder next) {
    if (order.isPresent() && next.fence() <= order.get().fence()) {
      return;
    }
    order = Optional.of(next);
    orderedAt = clock.elapsed();
    failures = 0;
    stateMachine.fire(SwapEvent.ORDER);
  }

  /**
   * Called when a call to the engine has ended. The result of a call that has timed out or was
   * replaced is ignored.
   */
  public void onCallEnded(long number, SwapEvent outcome) {
    if (number == callNumber) {
      stateMachine.fire(outcome);
    }
  }

  /**
   * Called when the engine has reported the version that it serves.
   *
   * @param version the version, or empty if the engine serves no complete weights
   */
  public void onServed(long number, Optional<WeightVersion> version) {
    if (number != callNumber || stateMachine.state() != SwapState.READING_BACK) {
      return;
    }
    served = version;
    stateMachine.fire(compareWithOrder(version));
  }

  /**
   * Called when the result of a read of the log has been applied.
   *
   * @param sentAt when the read was sent, as {@link Clock#elapsed()}
   */
  public void onLogRead(Duration sentAt) {
    if (sentAt.compareTo(pauseDetectedAt) >= 0) {
      mustReadLog = false;
    }
  }

  /** Handles timeouts and timers. Must be called several times a second. */
  public void tick() {
    Duration now = clock.elapsed();
    detectPause(now);
    if (isCallPending() && now.compareTo(callExpiry) >= 0) {
      callNumber++;
      stateMachine.fire(SwapEvent.FAILED);
    } else if (!isCallPending() && now.compareTo(timerAt) >= 0) {
      stateMachine.fire(SwapEvent.TIMER);
    }
    if (stateMachine.state() == SwapState.AWAITING_TURN && mayLoad(now)) {
      stateMachine.fire(SwapEvent.TURN);
    }
  }

  /** Returns the version that the engine reported at the last read. */
  public Optional<WeightVersion> served() {
    return served;
  }

  /** Returns whether the endpoint accepts new work. */
  public boolean isInRotation() {
    return inRotation;
  }

  /** Returns the order in force. */
  public Optional<WeightOrder> order() {
    return order;
  }

  /** Returns the current state. */
  public SwapState state() {
    return stateMachine.state();
  }

  private void execute(SwapAction action) {
    switch (action) {
      case READ -> beginCall(() -> port.readServed(callNumber));
      case PREFETCH -> beginCall(() -> port.prefetch(callNumber, order.orElseThrow()));
      case LOAD -> beginCall(() -> port.load(callNumber, order.orElseThrow()));
      case LEAVE_ROTATION -> setRotation(false);
      case JOIN_ROTATION -> setRotation(true);
      case BACK_OFF -> backOff();
      case REST -> scheduleProbe();
    }
  }

  private void beginCall(Runnable send) {
    callNumber++;
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
    timerAt = clock.elapsed().plus(min(wait, policy.maxBackOff()));
  }

  private void scheduleProbe() {
    failures = 0;
    timerAt = clock.elapsed().plus(policy.probePeriod());
  }

  private SwapEvent compareWithOrder(Optional<WeightVersion> version) {
    if (version.isEmpty()) {
      return order.isPresent() ? SwapEvent.SERVES_NONE : SwapEvent.FAILED;
    }
    boolean isTarget = order.isEmpty() || order.get().version().equals(version.get());
    return isTarget ? SwapEvent.SERVES_TARGET : SwapEvent.SERVES_OTHER;
  }

  private void detectPause(Duration now) {
    if (now.minus(lastTick).compareTo(policy.pauseLimit()) > 0) {
      mustReadLog = true;
      pauseDetectedAt = now;
    }
    lastTick = now;
  }

  private boolean isCallPending() {
    return switch (stateMachine.state()) {
      case READING_BACK, PREFETCHING, LOADING -> true;
      case SETTLED, AWAITING_TURN, BACKING_OFF -> false;
    };
  }

  private boolean mayLoad(Duration now) {
    if (mustReadLog) {
      requestLogRead(now);
      return false;
    }
    return loadCondition.mayLoad(order.orElseThrow(), now.minus(orderedAt));
  }

  private void requestLogRead(Duration now) {
    if (now.compareTo(nextLogRead) >= 0) {
      nextLogRead = now.plus(policy.maxBackOff());
      port.readLog();
    }
  }

  private static Duration min(Duration a, Duration b) {
    return a.compareTo(b) < 0 ? a : b;
  }
}
