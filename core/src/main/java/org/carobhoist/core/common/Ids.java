package org.carobhoist.core.common;

import java.util.regex.Pattern;

/** Validates the text form of ids. */
final class Ids {

  private static final Pattern WELL_FORMED = Pattern.compile("[A-Za-z0-9._:/-]{1,128}");

  private Ids() {}

  /** Throws an {@link IllegalArgumentException} that names the type if the value is malformed. */
  static void check(String type, String value) {
    if (value == null || !WELL_FORMED.matcher(value).matches()) {
      throw new IllegalArgumentException(type + " is malformed: " + value);
    }
  }
}
