package org.carobhoist.core.settings;

import java.util.Optional;
import java.util.function.Function;

/**
 * Specification of one key of an INI document: its location, its parser and its documentation.
 * Documents are validated against the specs of their keys, and the reference pages are generated
 * from them.
 *
 * @param section section of the key
 * @param key name of the key
 * @param range description of the allowed values, with the unit
 * @param fallback default text if the key is missing; empty if the key is required
 * @param effect one sentence that describes what the setting does
 * @param parser converts the text to a value, or throws {@link IllegalArgumentException}
 * @param <T> type of the value
 */
public record SettingSpec<T>(
    String section,
    String key,
    String range,
    Optional<String> fallback,
    String effect,
    Function<String, T> parser) {

  /** Returns whether the key must be present. */
  public boolean isRequired() {
    return fallback.isEmpty();
  }
}
