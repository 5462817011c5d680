package org.carobhoist.core.settings;

import java.io.IOException;
import java.io.StringReader;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.apache.commons.configuration2.INIConfiguration;
import org.apache.commons.configuration2.SubnodeConfiguration;
import org.apache.commons.configuration2.ex.ConfigurationException;

/**
 * Checks an INI document against the specs of its keys. The document is refused as a whole, with
 * all of its faults, if a section or key is unknown, doubled or missing, or a value has the wrong
 * type or is out of range.
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
   * @param file name for messages
   * @param text the document
   * @param specs every key that the document may have
   * @throws SettingsException if anything is wrong
   */
  public static SettingsDocument read(String file, String text, List<SettingSpec<?>> specs)
      throws SettingsException {
    return new SettingsReader(file, specs).read(text);
  }

  private SettingsDocument read(String text) throws SettingsException {
    INIConfiguration ini = new INIConfiguration();
    try {
      ini.read(new StringReader(text));
    } catch (ConfigurationException | IOException e) {
      problem("", "", "", "not an INI document: " + e.getMessage());
      throw new SettingsException(problems);
    }
    checkNames(ini);
    Map<SettingSpec<?>, Object> values = new LinkedHashMap<>();
    for (SettingSpec<?> spec : specs) {
      readKey(ini, spec, values);
    }
    if (!problems.isEmpty()) {
      throw new SettingsException(problems);
    }
    return new SettingsDocument(file, values);
  }

  private void checkNames(INIConfiguration ini) {
    Set<String> sections = new LinkedHashSet<>();
    Set<String> keys = new HashSet<>();
    for (SettingSpec<?> spec : specs) {
      sections.add(spec.section());
      keys.add(spec.section() + "." + spec.key());
    }
    for (String section : ini.getSections()) {
      if (section == null) {
        problem("", "", "", "keys must stand in a section; the sections are " + sections);
        continue;
      }
      if (!sections.contains(section)) {
        problem(section, "", "", "unknown section; the sections are " + sections);
        continue;
      }
      SubnodeConfiguration body = ini.getSection(section);
      body.getKeys()
          .forEachRemaining(
              key -> {
                if (!keys.contains(section + "." + key.replace("..", "."))) {
                  problem(section, key, body.getString(key), "unknown key");
                }
              });
    }
    for (SettingSpec<?> spec : specs) {
      if (spec.isRequired() && sections.remove(spec.section())) {
        if (!ini.getSections().contains(spec.section())) {
          problem(spec.section(), "", "", "missing section");
        }
      }
    }
  }

  private void readKey(
      INIConfiguration ini, SettingSpec<?> spec, Map<SettingSpec<?>, Object> values) {
    boolean present = ini.getSections().contains(spec.section());
    List<Object> found =
        present ? ini.getSection(spec.section()).getList(spec.key(), List.of()) : List.of();
    if (found.size() > 1) {
      problem(spec.section(), spec.key(), found.toString(), "key stands more than once");
      return;
    }
    if (found.isEmpty() && spec.isRequired()) {
      if (present) {
        problem(spec.section(), spec.key(), "", "missing key; allowed: " + spec.range());
      }
      return;
    }
    String text = found.isEmpty() ? spec.fallback().orElseThrow() : found.get(0).toString().trim();
    try {
      values.put(spec, spec.parser().apply(text));
    } catch (IllegalArgumentException e) {
      problem(spec.section(), spec.key(), text, "bad value; allowed: " + spec.range());
    }
  }

  private void problem(String section, String key, String value, String message) {
    problems.add(new SettingsProblem(file, section, key, value, message));
  }
}
