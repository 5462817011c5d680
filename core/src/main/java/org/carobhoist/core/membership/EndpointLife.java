package org.carobhoist.core.membership;

import org.carobhoist.core.chart.ChartReader;
import org.carobhoist.core.chart.ChartRun;
import org.carobhoist.core.chart.StateChart;

/**
 * Lifecycle of an endpoint as seen by its sidecar, from the first probe to the planned shutdown of
 * the sidecar; interprets the state chart {@code drain}. An endpoint is drained in steps so that no
 * request is aborted or needlessly refused. First the entries are notified, while requests already
 * in transit are still accepted. Then new requests are refused and running ones completed. Links
 * stay up until the entries have read every response.
 */
public final class EndpointLife {

  private static final StateChart<EndpointLifeState, EndpointLifeEvent, EndpointLifeAction> CHART =
      ChartReader.readResource(
          "drain", EndpointLifeState.class, EndpointLifeEvent.class, EndpointLifeAction.class);

  /** Consecutive failed probes after which an endpoint is considered down. */
  private static final int FAILURE_THRESHOLD = 3;

  private final EndpointLifePort port;
  private final ChartRun<EndpointLifeState, EndpointLifeEvent, EndpointLifeAction> run;
  private int consecutiveFailures;

  private EndpointLife(EndpointLifePort port) {
    this.port = port;
    this.run = ChartRun.start(CHART, this::act);
  }

  /** Returns the lifecycle of an endpoint that has not been probed yet. */
  public static EndpointLife create(EndpointLifePort port) {
    return new EndpointLife(port);
  }

  /** Returns the state chart of the endpoint lifecycle. */
  public static StateChart<EndpointLifeState, EndpointLifeEvent, EndpointLifeAction> chart() {
    return CHART;
  }

  /** Called with the result of a probe; a failure of the first probe takes effect at once. */
  public void onProbe(boolean answered) {
    consecutiveFailures = answered ? 0 : consecutiveFailures + 1;
    if (answered) {
      run.fire(EndpointLifeEvent.PROBE_OK);
    } else if (consecutiveFailures >= FAILURE_THRESHOLD || state() == EndpointLifeState.STARTING) {
      run.fire(EndpointLifeEvent.PROBE_FAILED);
    }
  }

  /** Called with whether the instance list or the endpoint reports that it is leaving. */
  public void onLeaving(boolean leaving) {
    run.fire(leaving ? EndpointLifeEvent.LEAVING : EndpointLifeEvent.STAYING);
  }

  /** Called when the sidecar is asked to shut down. */
  public void onStop() {
    run.fire(EndpointLifeEvent.STOP);
  }

  /** Called when the grace period for entries to act on the announcement has ended. */
  public void onGraceOver() {
    run.fire(EndpointLifeEvent.GRACE_OVER);
  }

  /** Called when no request is running or queued. */
  public void onIdle() {
    run.fire(EndpointLifeEvent.IDLE);
  }

  /** Called when every entry has read all data sent to it. */
  public void onFlushed() {
    run.fire(EndpointLifeEvent.FLUSHED);
  }

  /** Called when a shutdown step has exceeded its time limit. */
  public void onLimit() {
    run.fire(EndpointLifeEvent.LIMIT);
  }

  /** Returns the current state. */
  public EndpointLifeState state() {
    return run.state();
  }

  /** Returns the phase to announce. */
  public EndpointPhase phase() {
    return switch (run.state()) {
      case SERVING -> EndpointPhase.SERVING;
      case STARTING, DOWN -> EndpointPhase.DOWN;
      default -> EndpointPhase.DRAINING;
    };
  }

  private void act(EndpointLifeAction action) {
    switch (action) {
      case ANNOUNCE -> port.announce();
      case START_GRACE -> port.startGrace();
      case REFUSE_NEW -> port.refuseNew();
      case ADMIT_NEW -> port.admitNew();
      case AWAIT_IDLE -> port.awaitIdle();
      case FLUSH -> port.flush();
      case FINISH -> port.finish();
    }
  }
}
