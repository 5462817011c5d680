package org.carobhoist.core.settings;

import java.util.Optional;
import java.util.function.Function;

/**
 * One key of an INI document: where it stands, how its text becomes a value, and what a person has
 * to know about it. Documents are checked against their specs, and the reference pages are made
 * from them.
 *
 * @param section section of the key
 * @param key name of the key
 * @param range the allowed values in words, with the unit
 * @param fallback text that stands for a missing key; empty if the key is required
 * @param effect one sentence on what the value does
 * @param parser turns the text into a value, or throws {@link IllegalArgumentException}
 * @param <T> type of the value
 */
public record SettingSpec<T>(
    String section,
    String key,
    String range,
    Optional<String> fallback,
    String effect,
    Function<String, T> parser) {

  /** Returns whether the key has to be present. */
  public boolean isRequired() {
    return fallback.isEmpty();
  }
}
