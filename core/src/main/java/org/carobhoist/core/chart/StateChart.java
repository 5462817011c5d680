package org.carobhoist.core.chart;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.EnumSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * A finite state machine whose transitions come from a resource file.
 *
 * <p>The transition table is complete: every non-final state defines a transition for every event.
 * Loading fails with a message that names the state or event if a transition is missing, a name is
 * unknown, or a state is unreachable from the initial one. A transition consists of the next state
 * and the actions to run, in order.
 *
 * @param <S> the states
 * @param <E> the events
 * @param <A> the actions
 */
public final class StateChart<S extends Enum<S>, E extends Enum<E>, A extends Enum<A>> {

  private final String name;
  private final S initial;
  private final Set<S> finals;
  private final Map<S, Map<E, Transition<S, A>>> table;

  StateChart(String name, S initial, Set<S> finals, Map<S, Map<E, Transition<S, A>>> table) {
    this.name = name;
    this.initial = initial;
    this.finals = finals;
    this.table = table;
  }

  /** Returns the chart's name. */
  public String name() {
    return name;
  }

  /** Returns the initial state. */
  public S initial() {
    return initial;
  }

  /** Returns whether the state is final. */
  public boolean isFinal(S state) {
    return finals.contains(state);
  }

  /**
   * Returns the transition of an event in a state. A final state ignores every event: it has no
   * actions and no other next state.
   */
  public Transition<S, A> next(S state, E event) {
    if (isFinal(state)) {
      return new Transition<>(state, List.of());
    }
    return table.get(state).get(event);
  }

  /** Returns the transitions of all non-final states. */
  Map<S, Map<E, Transition<S, A>>> table() {
    return table;
  }

  /** Returns the final states. */
  Set<S> finals() {
    return finals;
  }

  /** Returns the states that are reachable from the initial one, including it. */
  Set<S> reachable() {
    Set<S> seen = EnumSet.of(initial);
    Deque<S> open = new ArrayDeque<>(seen);
    while (!open.isEmpty()) {
      for (Transition<S, A> t : table.getOrDefault(open.pop(), Map.of()).values()) {
        if (seen.add(t.next())) {
          open.push(t.next());
        }
      }
    }
    return seen;
  }
}
