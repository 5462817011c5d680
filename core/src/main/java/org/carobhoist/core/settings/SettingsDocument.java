package org.carobhoist.core.settings;

import java.util.Map;

/**
 * A checked INI document: every value has been parsed and is in range.
 *
 * @param file name of the document, for messages
 * @param values the parsed values by spec
 */
public record SettingsDocument(String file, Map<SettingSpec<?>, Object> values) {

  /** Returns the value for a spec with which the document was read. */
  @SuppressWarnings("unchecked")
  public <T> T get(SettingSpec<T> spec) {
    if (!values.containsKey(spec)) {
      throw new IllegalArgumentException("not read with this spec: " + spec.key());
    }
    return (T) values.get(spec);
  }
}
