package org.carobhoist.core.membership;

import org.carobhoist.core.chart.ChartReader;
import org.carobhoist.core.chart.StateChart;
import org.carobhoist.core.chart.StateMachine;

/**
 * Lifecycle of an endpoint as seen by its sidecar, from the first probe to the planned shutdown of
 * the sidecar; interprets the state chart {@code drain}. An endpoint is drained in steps so that no
 * request is aborted or needlessly refused. First the entries are notified, while requests already
 * in transit are still accepted. Then new requests are refused and running ones completed. Links
 * stay up until the entries have read every response.
 */
public final class EndpointLifecycle {

  private static final StateChart<
          EndpointLifecycleState, EndpointLifecycleEvent, EndpointLifecycleAction>
      CHART =
          ChartReader.readResource(
              "drain",
              EndpointLifecycleState.class,
              EndpointLifecycleEvent.class,
              EndpointLifecycleAction.class);

  /** Consecutive failed probes after which an endpoint is considered down. */
  private static final int FAILURE_THRESHOLD = 3;

  private final EndpointLifecyclePort port;
  private final StateMachine<
          EndpointLifecycleState, EndpointLifecycleEvent, EndpointLifecycleAction>
      run;
  private int consecutiveFailures;

  private EndpointLifecycle(EndpointLifecyclePort port) {
    this.port = port;
    this.run = StateMachine.start(CHART, this::act);
  }

  /** Returns the lifecycle of an endpoint that has not been probed yet. */
  public static EndpointLifecycle create(EndpointLifecyclePort port) {
    return new EndpointLifecycle(port);
  }

  /** Returns the state chart of the endpoint lifecycle. */
  public static StateChart<EndpointLifecycleState, EndpointLifecycleEvent, EndpointLifecycleAction>
      chart() {
    return CHART;
  }

  /** Called with the result of a probe; a failure of the first probe takes effect at once. */
  public void onProbe(boolean answered) {
    consecutiveFailures = answered ? 0 : consecutiveFailures + 1;
    if (answered) {
      run.fire(EndpointLifecycleEvent.PROBE_OK);
    } else if (consecutiveFailures >= FAILURE_THRESHOLD
        || state() == EndpointLifecycleState.STARTING) {
      run.fire(EndpointLifecycleEvent.PROBE_FAILED);
    }
  }

  /** Called with whether the instance list or the endpoint reports that it is leaving. */
  public void onLeaving(boolean leaving) {
    run.fire(leaving ? EndpointLifecycleEvent.LEAVING : EndpointLifecycleEvent.STAYING);
  }

  /** Called when the sidecar is asked to shut down. */
  public void onStop() {
    run.fire(EndpointLifecycleEvent.STOP);
  }

  /** Called when the grace period for entries to act on the announcement has ended. */
  public void onGracePeriodEnded() {
    run.fire(EndpointLifecycleEvent.GRACE_OVER);
  }

  /** Called when no request is running or queued. */
  public void onIdle() {
    run.fire(EndpointLifecycleEvent.IDLE);
  }

  /** Called when every entry has read all data sent to it. */
  public void onFlushed() {
    run.fire(EndpointLifecycleEvent.FLUSHED);
  }

  /** Called when a shutdown step has exceeded its time limit. */
  public void onStepTimeout() {
    run.fire(EndpointLifecycleEvent.LIMIT);
  }

  /** Returns the current state. */
  public EndpointLifecycleState state() {
    return run.state();
  }

  /** Returns whether the requests accepted before are being completed. */
  public boolean isAwaitingIdle() {
    return state() == EndpointLifecycleState.COMPLETING
        || state() == EndpointLifecycleState.DRAINING;
  }

  /** Returns the phase to announce. */
  public EndpointPhase phase() {
    return switch (run.state()) {
      case SERVING -> EndpointPhase.SERVING;
      case STARTING, DOWN -> EndpointPhase.DOWN;
      default -> EndpointPhase.DRAINING;
    };
  }

  private void act(EndpointLifecycleAction action) {
    switch (action) {
      case ANNOUNCE -> port.announce();
      case START_GRACE -> port.startGrace();
      case REFUSE_NEW -> port.refuseNew();
      case ADMIT_NEW -> port.admitNew();
      case START_LIMIT -> port.startDrainTimeLimit();
      case AWAIT_IDLE -> port.awaitIdle();
      case FLUSH -> port.flush();
      case FINISH -> port.finish();
    }
  }
}
