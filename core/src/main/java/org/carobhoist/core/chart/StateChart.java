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
 * <p>The table is complete: every state that is not final names every event. Loading fails, with
 * the state or event at fault, if a cell is missing, a name is unknown, or a state can't be reached
 * from the initial one. A transition consists of the next state and of actions to carry out in
 * order.
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

  /** Returns the state in which a run begins. */
  public S initial() {
    return initial;
  }

  /** Returns whether no event leaves the state. */
  public boolean isFinal(S state) {
    return finals.contains(state);
  }

  /**
   * Returns what an event does in a state. In a final state every event is ignored: it stays there
   * with no action.
   */
  public Transition<S, A> next(S state, E event) {
    if (isFinal(state)) {
      return new Transition<>(state, List.of());
    }
    return table.get(state).get(event);
  }

  /** Returns the transitions of every state that is not final. */
  Map<S, Map<E, Transition<S, A>>> table() {
    return table;
  }

  /** Returns the states that no event leaves. */
  Set<S> finals() {
    return finals;
  }

  /** Returns the states that a run can reach, the initial one included. */
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
