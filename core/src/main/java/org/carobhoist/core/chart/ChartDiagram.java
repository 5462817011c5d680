package org.carobhoist.core.chart;

import java.util.Map;
import java.util.Map.Entry;

/** Renders a chart as a Mermaid state diagram, without the events that a state ignores. */
public final class ChartDiagram {

  private ChartDiagram() {}

  /** Returns the text of the diagram: one transition per line, in the order of the enums. */
  public static <S extends Enum<S>, E extends Enum<E>, A extends Enum<A>> String draw(
      StateChart<S, E, A> chart) {
    StringBuilder out = new StringBuilder("stateDiagram-v2\n");
    out.append("  [*] --> ").append(chart.initial()).append('\n');
    for (Entry<S, Map<E, Transition<S, A>>> row : chart.table().entrySet()) {
      row.getValue().forEach((event, t) -> appendTransition(out, row.getKey(), event, t));
    }
    chart.finals().forEach(s -> out.append("  ").append(s).append(" --> [*]\n"));
    return out.toString();
  }

  private static <S, E, A> void appendTransition(
      StringBuilder out, S state, E event, Transition<S, A> t) {
    if (t.next().equals(state) && t.actions().isEmpty()) {
      return;
    }
    out.append("  ").append(state).append(" --> ").append(t.next()).append(" : ").append(event);
    if (!t.actions().isEmpty()) {
      out.append(" / ");
      t.actions().forEach(a -> out.append(a).append(' '));
      out.setLength(out.length() - 1);
    }
    out.append('\n');
  }
}
