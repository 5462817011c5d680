package org.carobhoist.core.report;

import java.time.Instant;
import java.time.format.DateTimeParseException;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * One structured line of a process's log.
 *
 * @param at when it was written, by the clock of its process
 * @param event number of the event
 * @param fields its fields, without quotation marks
 */
public record LogLine(Instant at, int event, Map<String, String> fields) {

  private static final Pattern HEAD = Pattern.compile("(\\S+Z) [A-Z]+ event=(\\d+) ");
  private static final Pattern FIELD =
      Pattern.compile("([A-Za-z]+)=(?:\"((?:[^\"\\\\]|\\\\.)*)\"|(\\S*))");

  /** Copies the fields. */
  public LogLine {
    fields = Map.copyOf(fields);
  }

  /** Returns the line, whatever a collector put before it; empty if it isn't a structured one. */
  public static Optional<LogLine> parse(String text) {
    Matcher head = HEAD.matcher(text);
    if (!head.find()) {
      return Optional.empty();
    }
    try {
      Instant at = Instant.parse(head.group(1));
      int event = Integer.parseInt(head.group(2));
      return Optional.of(new LogLine(at, event, fields(text.substring(head.end()))));
    } catch (DateTimeParseException | NumberFormatException e) {
      return Optional.empty();
    }
  }

  /** Returns a field; empty text if the line doesn't have it. */
  public String text(String field) {
    return fields.getOrDefault(field, "");
  }

  /** Returns a field that holds a number; 0 if the line doesn't have it or it is none. */
  public int number(String field) {
    try {
      return Integer.parseInt(text(field));
    } catch (NumberFormatException e) {
      return 0;
    }
  }

  private static Map<String, String> fields(String text) {
    Map<String, String> out = new HashMap<>();
    Matcher field = FIELD.matcher(text);
    while (field.find()) {
      out.put(field.group(1), field.group(2) != null ? field.group(2) : field.group(3));
    }
    return out;
  }
}
