package org.carobhoist.server.report;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Stream;

/** Reads the entries that a bench leaves in the journal of the checkout that it plays. */
public final class PlayJournal {

  private static final ObjectMapper JSON = new ObjectMapper();
  private static final String SUFFIX = ".json";

  private PlayJournal() {}

  /**
   * What an entry says of a single play.
   *
   * @param site the name of the installation
   * @param problem why the play yields no figures, for example that it was given up; empty if it
   *     does
   * @param figures the figures by their names; empty if there is a problem
   */
  public record Play(String site, String problem, Map<String, Double> figures) {}

  /**
   * Finds the entry of a play. Other entries aren't parsed, since plays beside it may be writing
   * theirs.
   *
   * @param folder the journal
   * @param id an id that only the line given for this play contains
   * @throws IOException if the journal can't be read
   */
  public static Optional<Play> find(Path folder, String id) throws IOException {
    if (!Files.isDirectory(folder)) {
      return Optional.empty();
    }
    List<Path> entries;
    try (Stream<Path> files = Files.list(folder)) {
      entries = files.filter(f -> f.toString().endsWith(SUFFIX)).sorted().toList();
    }
    for (Path file : entries) {
      String text = Files.readString(file);
      if (text.contains(id)) {
        return Optional.of(play(JSON.readTree(text)));
      }
    }
    return Optional.empty();
  }

  private static Play play(JsonNode entry) {
    String site = entry.path("site").asText();
    JsonNode day = entry.path("days").path(0);
    String problem = problem(entry, day);
    return new Play(site, problem, problem.isEmpty() ? figures(day) : Map.of());
  }

  private static String problem(JsonNode entry, JsonNode day) {
    if (!entry.path("ok").asBoolean() || !day.path("G").isNumber()) {
      return "not played: " + entry.path("error").asText();
    }
    if (day.path("fault").isTextual()) {
      return day.path("fault").asText();
    }
    return day.path("rules").isEmpty() ? "" : "rules broken: " + day.path("rules");
  }

  private static Map<String, Double> figures(JsonNode day) {
    Map<String, Double> figures = new LinkedHashMap<>();
    figures.put("worth", day.path("G").asDouble());
    figures.put("served", day.path("served").asDouble());
    day.path("parts").forEach(p -> figures.put(p.path(0).asText(), p.path(2).asDouble()));
    double prices = 0;
    for (JsonNode price : day.path("prices")) {
      prices += price.path(2).asDouble();
    }
    figures.put("prices", prices);
    return figures;
  }
}
