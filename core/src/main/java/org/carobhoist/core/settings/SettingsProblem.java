package org.carobhoist.core.settings;

/**
 * One fault in an INI document.
 *
 * @param file name of the document
 * @param section section at fault, or empty
 * @param key key at fault, or empty
 * @param value text at fault, or empty
 * @param message what is wrong, with the allowed range
 */
public record SettingsProblem(
    String file, String section, String key, String value, String message) {

  @Override
  public String toString() {
    StringBuilder out = new StringBuilder(file).append(": ");
    if (!section.isEmpty()) {
      out.append('[').append(section).append("] ");
    }
    if (!key.isEmpty()) {
      out.append(key).append(value.isEmpty() ? "" : " = " + value).append(": ");
    } else if (!value.isEmpty()) {
      out.append('"').append(value).append("\": ");
    }
    return out.append(message).toString();
  }
}
