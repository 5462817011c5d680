package org.carobhoist.core.chart;

import java.util.function.Consumer;

/**
 * One run through a chart: remembers the state and hands the actions of each event to a handler.
 *
 * @param <S> the states
 * @param <E> the events
 * @param <A> the actions
 */
public final class ChartRun<S extends Enum<S>, E extends Enum<E>, A extends Enum<A>> {

  private final StateChart<S, E, A> chart;
  private final Consumer<A> handler;
  private S state;

  private ChartRun(StateChart<S, E, A> chart, Consumer<A> handler) {
    this.chart = chart;
    this.handler = handler;
    this.state = chart.initial();
  }

  /** Starts a run in the chart's initial state. */
  public static <S extends Enum<S>, E extends Enum<E>, A extends Enum<A>> ChartRun<S, E, A> start(
      StateChart<S, E, A> chart, Consumer<A> handler) {
    return new ChartRun<>(chart, handler);
  }

  /** Returns the present state. */
  public S state() {
    return state;
  }

  /** Returns whether the run has ended. */
  public boolean isDone() {
    return chart.isFinal(state);
  }

  /** Takes an event: moves to the next state first, then carries out the actions in order. */
  public void fire(E event) {
    Transition<S, A> t = chart.next(state, event);
    state = t.next();
    t.actions().forEach(handler);
  }
}
