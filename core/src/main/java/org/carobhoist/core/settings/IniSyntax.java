package org.carobhoist.core.settings;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Validates the lines of an INI document before they are parsed. INI parsers accept almost any
 * text: a header with a missing bracket becomes a key, a second section of the same name is merged
 * into the first, and a trailing backslash continues the value on the next line. Each of these
 * hides an operator's mistake, so only four forms of line are allowed: blank, comment ({@code #} or
 * {@code ;}), {@code [section]} and {@code key = value}. A comment may follow a value and a space.
 */
final class IniSyntax {

  private static final Pattern HEADER =
      Pattern.compile("\\[([A-Za-z][A-Za-z0-9-]*)\\]\\s*([#;].*)?");
  private static final Pattern ENTRY = Pattern.compile("([A-Za-z][A-Za-z0-9-]*)\\s*=(.*)");

  private final String file;
  private final List<SettingsProblem> problems = new ArrayList<>();
  private final Map<String, Integer> sections = new HashMap<>();
  private final Map<String, Integer> keys = new HashMap<>();
  private String section = "";
  private int line;

  private IniSyntax(String file) {
    this.file = file;
  }

  /** Returns the syntax errors of a document; empty if every line has an allowed form. */
  static List<SettingsProblem> check(String file, String text) {
    IniSyntax syntax = new IniSyntax(file);
    text.lines().forEach(syntax::checkLine);
    return syntax.problems;
  }

  private void checkLine(String rawLine) {
    line++;
    String text = rawLine.strip();
    if (text.isEmpty() || text.startsWith("#") || text.startsWith(";")) {
      return;
    }
    if (text.startsWith("[")) {
      checkHeader(text);
      return;
    }
    checkEntry(text);
  }

  private void checkHeader(String text) {
    Matcher m = HEADER.matcher(text);
    if (!m.matches()) {
      addProblem("", text, "not a section header; write [name], optionally followed by a comment");
      return;
    }
    section = m.group(1);
    Integer firstLine = sections.putIfAbsent(section, line);
    if (firstLine != null) {
      addProblem("", "", "duplicate section; first defined on line " + firstLine);
    }
  }

  private void checkEntry(String text) {
    Matcher m = ENTRY.matcher(text);
    if (!m.matches()) {
      addProblem("", text, "neither [section] nor key = value");
      return;
    }
    String key = m.group(1);
    if (section.isEmpty()) {
      addProblem(key, m.group(2).strip(), "key appears before the first section");
      return;
    }
    if (text.endsWith("\\")) {
      addProblem(key, m.group(2).strip(), "a value can't continue on the next line");
    }
    Integer firstLine = keys.putIfAbsent(section + "." + key, line);
    if (firstLine != null) {
      addProblem(key, m.group(2).strip(), "duplicate key; first defined on line " + firstLine);
    }
  }

  private void addProblem(String key, String value, String message) {
    problems.add(new SettingsProblem(file + ":" + line, section, key, value, message));
  }
}
