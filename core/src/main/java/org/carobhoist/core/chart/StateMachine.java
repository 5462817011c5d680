package org.carobhoist.core.chart;

import java.util.function.Consumer;

/**
 * An instance of a chart: holds the current state and passes actions to a handler.
 *
 * @param <S> the states
 * @param <E> the events
 * @param <A> the actions
 */
public final class StateMachine<S extends Enum<S>, E extends Enum<E>, A extends Enum<A>> {

  private final StateChart<S, E, A> chart;
  private final Consumer<A> handler;
  private S state;

  private StateMachine(StateChart<S, E, A> chart, Consumer<A> handler) {
    this.chart = chart;
    this.handler = handler;
    this.state = chart.initial();
  }

  /** Returns a new instance in the chart's initial state. */
  public static <S extends Enum<S>, E extends Enum<E>, A extends Enum<A>>
      StateMachine<S, E, A> start(StateChart<S, E, A> chart, Consumer<A> handler) {
    return new StateMachine<>(chart, handler);
  }

  /** Returns the current state. */
  public S state() {
    return state;
  }

  /** Returns whether the current state is final. */
  public boolean isDone() {
    return chart.isFinal(state);
  }

  /**
   * Handles an event: switches to the next state, then runs the actions in order. An action that
   * fires another event therefore sees the new state.
   */
  public void fire(E event) {
    Transition<S, A> t = chart.next(state, event);
    state = t.next();
    t.actions().forEach(handler);
  }
}
