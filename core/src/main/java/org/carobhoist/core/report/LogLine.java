package org.carobhoist.core.report;

import java.time.Instant;
import java.time.format.DateTimeParseException;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * One structured log line of a process.
 *
 * @param at time of the line, by the clock of its process
 * @param event number of the log event
 * @param fields values by field name, without enclosing quotation marks
 */
public record LogLine(Instant at, int event, Map<String, String> fields) {

  private static final Pattern HEAD = Pattern.compile("(\\S+Z) [A-Z]+ event=(\\d+) ");
  private static final Pattern FIELD =
      Pattern.compile("([A-Za-z]+)=(?:\"((?:[^\"\\\\]|\\\\.)*)\"|(\\S*))");

  /** Copies the fields. */
  public LogLine {
    fields = Map.copyOf(fields);
  }

  /** Parses a line after any prefix that a log collector added; empty if it isn't structured. */
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

  /** Returns the value of a field, or an empty string if the field is absent. */
  public String text(String field) {
    return fields.getOrDefault(field, "");
  }

  /** Returns the value of an integer field, or 0 if it is absent or not an integer. */
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
