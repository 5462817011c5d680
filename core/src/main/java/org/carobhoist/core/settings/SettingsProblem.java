package org.carobhoist.core.settings;

/**
 * One problem in an INI document.
 *
 * @param file name of the document
 * @param section section concerned, or empty
 * @param key key concerned, or empty
 * @param value text concerned, or empty
 * @param message description of the problem, with the allowed range
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
