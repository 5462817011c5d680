package org.carobhoist.core.chart;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.Reader;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

/**
 * The sections of a chart file. The syntax is the part of INI that charts use: sections, {@code key
 * = value} lines, and whole lines of comment. Charts are read when a process serves its first
 * requests, and loading the library that reads the settings would take longer than the rest of that
 * work.
 */
final class ChartText {

  private static final String COMMENT_MARKS = ";#";

  private final Map<String, Map<String, String>> sections;

  private ChartText(Map<String, Map<String, String>> sections) {
    this.sections = sections;
  }

  /**
   * Reads all sections.
   *
   * @param name the chart's name, for messages
   * @throws ChartException if a line is neither a section, a key with a value, nor a comment, or if
   *     a section, or a key in a section, is defined twice
   * @throws IOException if the text can't be read
   */
  static ChartText read(String name, Reader text) throws IOException {
    Map<String, Map<String, String>> sections = new LinkedHashMap<>();
    Map<String, String> section = null;
    BufferedReader lines = new BufferedReader(text);
    int number = 0;
    for (String raw = lines.readLine(); raw != null; raw = lines.readLine()) {
      number++;
      String line = raw.trim();
      if (line.isEmpty() || COMMENT_MARKS.indexOf(line.charAt(0)) >= 0) {
        continue;
      }
      String where = "chart " + name + ": line " + number + ": ";
      if (line.startsWith("[") && line.endsWith("]")) {
        section = new LinkedHashMap<>();
        putOnce(sections, line.substring(1, line.length() - 1).trim(), section, where + "section");
        continue;
      }
      int equals = line.indexOf('=');
      if (equals < 0 || section == null) {
        throw new ChartException(where + "neither a section nor a key of one: '" + line + "'");
      }
      String key = line.substring(0, equals).trim();
      putOnce(section, key, line.substring(equals + 1).trim(), where + "key");
    }
    return new ChartText(sections);
  }

  private static <T> void putOnce(Map<String, T> map, String key, T value, String where) {
    if (map.putIfAbsent(key, value) != null) {
      throw new ChartException(where + " '" + key + "' is defined twice");
    }
  }

  /** Returns the names of the sections in the order of the file. */
  Set<String> sectionNames() {
    return sections.keySet();
  }

  /** Returns the keys and values of a section; empty if the section is missing. */
  Map<String, String> section(String name) {
    return sections.getOrDefault(name, Map.of());
  }
}
