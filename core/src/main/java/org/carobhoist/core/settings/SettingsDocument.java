package org.carobhoist.core.settings;

import java.util.Map;

/**
 * A valid INI document: every value has been parsed and is in range.
 *
 * @param file name of the document, for error messages
 * @param values the parsed values by spec
 */
public record SettingsDocument(String file, Map<SettingSpec<?>, Object> values) {

  /** Returns the value of a key, given one of the specs that the document was read with. */
  @SuppressWarnings("unchecked")
  public <T> T get(SettingSpec<T> spec) {
    if (!values.containsKey(spec)) {
      throw new IllegalArgumentException("document was read without this key: " + spec.key());
    }
    return (T) values.get(spec);
  }
}
