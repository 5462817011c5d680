package org.carobhoist.core.chart;

import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.io.Reader;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.EnumSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Reads a {@link StateChart} from an INI resource. Section {@code chart} has the keys {@code
 * initial} and {@code final} (state names separated by spaces). Every other section is a state, and
 * each of its keys is an event. The value is the next state, followed by the actions: {@code START
 * = ROUTING ROUTE}. A hyphen as the next state keeps the state unchanged.
 *
 * @param <S> the states
 * @param <E> the events
 * @param <A> the actions
 */
public final class ChartReader<S extends Enum<S>, E extends Enum<E>, A extends Enum<A>> {

  private static final String CHART_SECTION = "chart";
  private static final String SAME_STATE = "-";

  private final String name;
  private final Class<S> states;
  private final Class<E> events;
  private final Class<A> actions;

  private ChartReader(String name, Class<S> states, Class<E> events, Class<A> actions) {
    this.name = name;
    this.states = states;
    this.events = events;
    this.actions = actions;
  }

  /**
   * Reads the chart {@code charts/NAME.ini} from the class path.
   *
   * @throws ChartException if the file is missing or invalid
   */
  public static <S extends Enum<S>, E extends Enum<E>, A extends Enum<A>>
      StateChart<S, E, A> readResource(
          String name, Class<S> states, Class<E> events, Class<A> actions) {
    String path = "/charts/" + name + ".ini";
    try (InputStream in = ChartReader.class.getResourceAsStream(path)) {
      if (in == null) {
        throw new ChartException("chart " + name + ": resource not found: " + path);
      }
      return read(name, new InputStreamReader(in, StandardCharsets.UTF_8), states, events, actions);
    } catch (IOException e) {
      throw new ChartException("chart " + name + ": " + e.getMessage());
    }
  }

  /**
   * Reads a chart from text.
   *
   * @throws ChartException if the text is invalid
   */
  public static <S extends Enum<S>, E extends Enum<E>, A extends Enum<A>> StateChart<S, E, A> read(
      String name, Reader text, Class<S> states, Class<E> events, Class<A> actions) {
    try {
      ChartText sections = ChartText.read(name, text);
      return new ChartReader<>(name, states, events, actions).build(sections);
    } catch (IOException e) {
      throw new ChartException("chart " + name + ": " + e.getMessage());
    }
  }

  private StateChart<S, E, A> build(ChartText text) {
    Map<String, String> chartSection = text.section(CHART_SECTION);
    S initial = parse(states, "state", chartSection.getOrDefault("initial", ""));
    Set<S> finals = EnumSet.noneOf(states);
    for (String f : splitWords(chartSection.getOrDefault("final", ""))) {
      finals.add(parse(states, "state", f));
    }
    Map<S, Map<E, Transition<S, A>>> table = new EnumMap<>(states);
    for (String section : text.sectionNames()) {
      if (!CHART_SECTION.equals(section)) {
        S state = parse(states, "state", section);
        table.put(state, row(state, text.section(section)));
      }
    }
    StateChart<S, E, A> chart = new StateChart<>(name, initial, finals, table);
    validate(chart, table);
    return chart;
  }

  private Map<E, Transition<S, A>> row(S state, Map<String, String> section) {
    Map<E, Transition<S, A>> row = new EnumMap<>(events);
    section.forEach(
        (key, value) -> row.put(parse(events, "event in " + state, key), transition(state, value)));
    return row;
  }

  private Transition<S, A> transition(S state, String text) {
    List<String> words = splitWords(text);
    if (words.isEmpty()) {
      throw new ChartException("chart " + name + ": state " + state + " has an empty transition");
    }
    S next = words.get(0).equals(SAME_STATE) ? state : parse(states, "state", words.get(0));
    List<A> transitionActions = new ArrayList<>();
    for (String word : words.subList(1, words.size())) {
      transitionActions.add(parse(actions, "action", word));
    }
    return new Transition<>(next, List.copyOf(transitionActions));
  }

  private void validate(StateChart<S, E, A> chart, Map<S, Map<E, Transition<S, A>>> table) {
    for (S state : states.getEnumConstants()) {
      if (chart.isFinal(state)) {
        continue;
      }
      for (E event : events.getEnumConstants()) {
        if (!table.containsKey(state) || !table.get(state).containsKey(event)) {
          throw new ChartException(
              "chart " + name + ": state " + state + " has no transition for event " + event);
        }
      }
    }
    Set<S> unreachable = EnumSet.allOf(states);
    unreachable.removeAll(chart.reachable());
    if (!unreachable.isEmpty()) {
      throw new ChartException("chart " + name + ": unreachable states: " + unreachable);
    }
  }

  private <T extends Enum<T>> T parse(Class<T> type, String kind, String text) {
    for (T value : type.getEnumConstants()) {
      if (value.name().equals(text)) {
        return value;
      }
    }
    throw new ChartException("chart " + name + ": unknown " + kind + ": '" + text + "'");
  }

  private static List<String> splitWords(String text) {
    String trimmed = text.trim();
    return trimmed.isEmpty() ? List.of() : List.of(trimmed.split("\\s+"));
  }
}
