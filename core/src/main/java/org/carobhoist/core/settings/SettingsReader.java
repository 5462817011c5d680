package org.carobhoist.core.settings;

import java.io.IOException;
import java.io.StringReader;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.apache.commons.configuration2.Configuration;
import org.apache.commons.configuration2.INIConfiguration;
import org.apache.commons.configuration2.ex.ConfigurationException;

/**
 * Reads an INI document and validates it against the specs of its keys. The whole document is
 * rejected, with all problems found, if a section or key is unknown, duplicate or missing, or a
 * value has the wrong type or is out of range. If there are syntax errors, only these are reported.
 */
public final class SettingsReader {

  private final String file;
  private final List<SettingSpec<?>> specs;
  private final List<SettingsProblem> problems = new ArrayList<>();

  private SettingsReader(String file, List<SettingSpec<?>> specs) {
    this.file = file;
    this.specs = specs;
  }

  /**
   * Reads a document.
   *
   * @param file name of the document, for error messages
   * @param text the document
   * @param specs specs of all keys that the document may have
   * @throws SettingsException if the document is invalid
   */
  public static SettingsDocument read(String file, String text, List<SettingSpec<?>> specs)
      throws SettingsException {
    return new SettingsReader(file, specs).read(text);
  }

  private SettingsDocument read(String text) throws SettingsException {
    problems.addAll(IniSyntax.check(file, text));
    throwIfInvalid();
    INIConfiguration ini = parse(text);
    checkNames(ini);
    Map<SettingSpec<?>, Object> values = new LinkedHashMap<>();
    for (SettingSpec<?> spec : specs) {
      readKey(ini, spec, values);
    }
    throwIfInvalid();
    return new SettingsDocument(file, values);
  }

  private void throwIfInvalid() throws SettingsException {
    if (!problems.isEmpty()) {
      throw new SettingsException(problems);
    }
  }

  /** Parses the text; {@code =} is the only separator, and variables in values aren't expanded. */
  private INIConfiguration parse(String text) throws SettingsException {
    INIConfiguration ini = new INIConfiguration();
    ini.setSeparatorUsedInInput("=");
    ini.setInterpolator(null);
    try {
      ini.read(new StringReader(text));
      return ini;
    } catch (ConfigurationException | IOException e) {
      addProblem("", "", "", "not an INI document: " + e.getMessage());
      throw new SettingsException(problems);
    }
  }

  private void checkNames(INIConfiguration ini) {
    Map<String, Set<String>> known = new LinkedHashMap<>();
    for (SettingSpec<?> spec : specs) {
      known.computeIfAbsent(spec.section(), name -> new LinkedHashSet<>()).add(spec.key());
    }
    for (String section : ini.getSections()) {
      Set<String> keys = known.get(section);
      if (keys == null) {
        addProblem(section, "", "", "unknown section; the sections are " + join(known.keySet()));
      } else {
        checkKeys(section, ini.getSection(section), keys);
      }
    }
    specs.stream()
        .filter(SettingSpec::isRequired)
        .map(SettingSpec::section)
        .distinct()
        .filter(section -> !ini.getSections().contains(section))
        .forEach(section -> addProblem(section, "", "", "missing section"));
  }

  private void checkKeys(String section, Configuration body, Set<String> known) {
    Iterable<String> keys = body::getKeys;
    for (String key : keys) {
      if (!known.contains(key)) {
        String message = "unknown key; the keys of the section are " + join(known);
        addProblem(section, key, body.getString(key), message);
      }
    }
  }

  private void readKey(
      INIConfiguration ini, SettingSpec<?> spec, Map<SettingSpec<?>, Object> values) {
    boolean present = ini.getSections().contains(spec.section());
    String rawValue = present ? ini.getSection(spec.section()).getString(spec.key()) : null;
    if (rawValue == null && spec.isRequired()) {
      if (present) {
        addProblem(spec.section(), spec.key(), "", "missing key; allowed: " + spec.range());
      }
      return;
    }
    String text = rawValue == null ? spec.fallback().orElseThrow() : rawValue.trim();
    try {
      values.put(spec, spec.parser().apply(text));
    } catch (IllegalArgumentException e) {
      addProblem(spec.section(), spec.key(), text, "bad value; allowed: " + spec.range());
    }
  }

  private static String join(Set<String> names) {
    return String.join(", ", names);
  }

  private void addProblem(String section, String key, String value, String message) {
    problems.add(new SettingsProblem(file, section, key, value, message));
  }
}
