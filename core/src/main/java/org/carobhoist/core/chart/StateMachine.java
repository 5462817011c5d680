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
   *
   * <p>All actions run even if one of them throws, since the state has changed already: the actions
   * of a final state, such as the response to a request, would not be run by any later event.
   *
   * @throws ActionFailedException after the last action if an action threw; it names the action
   */
  public void fire(E event) {
    Transition<S, A> t = chart.next(state, event);
    state = t.next();
    ActionFailedException failure = null;
    for (A action : t.actions()) {
      try {
        handler.accept(action);
      } catch (RuntimeException e) {
        String text = "chart " + chart.name() + ": " + action + " failed on event " + event;
        ActionFailedException next = new ActionFailedException(text + " to " + t.next(), e);
        if (failure == null) {
          failure = next;
        } else {
          failure.addSuppressed(next);
        }
      }
    }
    if (failure != null) {
      throw failure;
    }
  }
}
