package org.carobhoist.core.http;

import java.nio.charset.StandardCharsets;

/** Classes of bytes in the grammar of RFC 9110, section 5.6. */
final class ByteClasses {

  private static final int DELETE = 0x7f;

  private static final boolean[] TOKEN = new boolean[Byte.MAX_VALUE + 1];

  static {
    String allowed =
        "!#$%&'*+-.^_`|~0123456789ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz";
    for (byte b : allowed.getBytes(StandardCharsets.US_ASCII)) {
      TOKEN[b] = true;
    }
  }

  private ByteClasses() {}

  /** Returns whether a byte may be part of a token, such as a field name. */
  static boolean isToken(byte b) {
    return b >= 0 && TOKEN[b];
  }

  /** Returns whether a byte may be part of a field value or a reason phrase. */
  static boolean isText(byte b) {
    // Bytes above 0x7f are obs-text; they are negative here.
    return b < 0 || b >= ' ' && b != DELETE || b == '\t';
  }

  static boolean isBlank(byte b) {
    return b == ' ' || b == '\t';
  }

  static boolean isDigit(byte b) {
    return b >= '0' && b <= '9';
  }

  /**
   * Checks a condition on a byte.
   *
   * @param defect what is malformed if the condition is false
   */
  static void check(boolean valid, String defect, byte b) throws MalformedResponseException {
    if (!valid) {
      throw new MalformedResponseException(String.format("%s: byte 0x%02x", defect, b));
    }
  }
}
