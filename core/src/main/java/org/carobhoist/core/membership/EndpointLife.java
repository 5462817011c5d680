package org.carobhoist.core.membership;

import org.carobhoist.core.chart.ChartReader;
import org.carobhoist.core.chart.ChartRun;
import org.carobhoist.core.chart.StateChart;

/**
 * The life of an endpoint as its sidecar sees it, from the first probe to the sidecar's planned
 * stop; interprets the chart {@code drain}. Leaving goes in steps so that no request is cut or
 * needlessly refused: entries are told first, while work already on its way is still taken; then
 * new work is refused and the old finished; links stay up until entries have read every answer.
 */
public final class EndpointLife {

  private static final StateChart<EndpointLifeState, EndpointLifeEvent, EndpointLifeAction> CHART =
      ChartReader.readResource(
          "drain", EndpointLifeState.class, EndpointLifeEvent.class, EndpointLifeAction.class);

  /** Failed probes in a row after which an endpoint counts as down. */
  private static final int FAILED_PROBES = 3;

  private final EndpointLifePort port;
  private final ChartRun<EndpointLifeState, EndpointLifeEvent, EndpointLifeAction> run;
  private int failedProbes;

  private EndpointLife(EndpointLifePort port) {
    this.port = port;
    this.run = ChartRun.start(CHART, this::act);
  }

  /** Returns an endpoint that hasn't been probed yet. */
  public static EndpointLife create(EndpointLifePort port) {
    return new EndpointLife(port);
  }

  /** Returns the chart that every endpoint follows. */
  public static StateChart<EndpointLifeState, EndpointLifeEvent, EndpointLifeAction> chart() {
    return CHART;
  }

  /** Takes the outcome of a probe; the first one ever decides alone. */
  public void onProbe(boolean answered) {
    failedProbes = answered ? 0 : failedProbes + 1;
    if (answered) {
      run.fire(EndpointLifeEvent.PROBE_OK);
    } else if (failedProbes >= FAILED_PROBES || state() == EndpointLifeState.STARTING) {
      run.fire(EndpointLifeEvent.PROBE_FAILED);
    }
  }

  /** Takes whether the instance list or the endpoint itself says that the endpoint is leaving. */
  public void onLeaving(boolean leaving) {
    run.fire(leaving ? EndpointLifeEvent.LEAVING : EndpointLifeEvent.STAYING);
  }

  /** Takes the order to stop the sidecar. */
  public void onStop() {
    run.fire(EndpointLifeEvent.STOP);
  }

  /** Takes the end of the grace for entries. */
  public void onGraceOver() {
    run.fire(EndpointLifeEvent.GRACE_OVER);
  }

  /** Takes that nothing runs and nothing waits. */
  public void onIdle() {
    run.fire(EndpointLifeEvent.IDLE);
  }

  /** Takes that every entry has read what was sent to it. */
  public void onFlushed() {
    run.fire(EndpointLifeEvent.FLUSHED);
  }

  /** Takes that a step of the stop took too long. */
  public void onLimit() {
    run.fire(EndpointLifeEvent.LIMIT);
  }

  /** Returns the present state. */
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
