package org.carobhoist.core.job;

import java.util.regex.Pattern;

/** Validates ids that are chosen by clients and used as one segment of a URL path. */
final class PathIds {

  private static final Pattern WELL_FORMED = Pattern.compile("[!-.0-~]{1,100}");

  private PathIds() {}

  /** Throws {@link IllegalArgumentException} with the type's name if the value is malformed. */
  static void check(String type, String value) {
    if (value == null || !WELL_FORMED.matcher(value).matches()) {
      throw new IllegalArgumentException(type + " is malformed: " + value);
    }
  }
}
