package org.carobhoist.server.gateway.upstream;

import java.util.regex.Pattern;

/** Finds status lines in text where none belongs. */
final class StatusLines {

  /** Includes forms that are not canonical, which the HTTP codec accepts. */
  private static final Pattern STATUS_LINE =
      Pattern.compile("HTTP/\\d+\\.\\d+\\s+\\d{3}(?!\\S)", Pattern.CASE_INSENSITIVE);

  private StatusLines() {}

  /** Returns whether a status line begins anywhere in the text. */
  static boolean isIn(String text) {
    return STATUS_LINE.matcher(text).find();
  }
}
