package org.carobhoist.core.http;

import java.nio.charset.StandardCharsets;
import java.util.OptionalLong;

/**
 * Checks the field lines of a head or of trailers, and keeps the fields that tell where the content
 * ends. A folded line (obs-fold) is malformed, as RFC 9112, section 5.2, allows a gateway to
 * decide, and so is a blank in front of the colon, with which a name can't be told from the rest of
 * an earlier message.
 */
final class FieldSectionValidator {

  private static final String CONTENT_LENGTH = "content-length";
  private static final String TRANSFER_ENCODING = "transfer-encoding";
  private static final int MAX_KEPT_NAME = TRANSFER_ENCODING.length();

  /** Number of digits of the largest content lengths that fit into a long for certain. */
  private static final int MAX_LENGTH_DIGITS = 18;

  /** Longer than any valid value of a field that is kept. */
  private static final int MAX_KEPT_VALUE = 64;

  /** The beginning of the name in the current line. */
  private final byte[] name = new byte[MAX_KEPT_NAME];

  private final StringBuilder value = new StringBuilder();
  private int nameLength;
  private boolean inValue;
  private boolean valueKept;
  private OptionalLong contentLength = OptionalLong.empty();
  private boolean chunked;

  /** Checks the next byte of a field line. */
  void onByte(byte b) throws MalformedResponseException {
    if (inValue) {
      onValueByte(b);
    } else {
      onNameByte(b);
    }
  }

  private void onNameByte(byte b) throws MalformedResponseException {
    if (b == ':' && nameLength > 0) {
      inValue = true;
      valueKept = isNamed(CONTENT_LENGTH) || isNamed(TRANSFER_ENCODING);
      return;
    }
    ByteClasses.check(
        ByteClasses.isToken(b),
        nameLength == 0 ? "no name at the beginning of a field line" : "a malformed field name",
        b);
    if (nameLength < MAX_KEPT_NAME) {
      name[nameLength] = b;
    }
    nameLength = Math.min(nameLength + 1, MAX_KEPT_NAME + 1);
  }

  private boolean isNamed(String fieldName) {
    return nameLength == fieldName.length()
        && fieldName.equalsIgnoreCase(new String(name, 0, nameLength, StandardCharsets.US_ASCII));
  }

  private void onValueByte(byte b) throws MalformedResponseException {
    ByteClasses.check(ByteClasses.isText(b), "a control byte in the value of a field", b);
    if (valueKept) {
      if (value.length() == MAX_KEPT_VALUE) {
        throw new MalformedResponseException("a content length or transfer coding is too long");
      }
      value.append((char) (b & 0xff));
    }
  }

  /**
   * Skips text of a value that isn't kept, which is most of what a section consists of.
   *
   * @return the index of the first byte that has to be checked, or the end
   */
  int skipText(byte[] bytes, int begin, int end) {
    int at = begin;
    if (inValue && !valueKept) {
      while (at < end && ByteClasses.isText(bytes[at])) {
        at++;
      }
    }
    return at;
  }

  /**
   * Checks a line at its end.
   *
   * @return whether the line is empty, so that the section has ended
   */
  boolean onLineEnd() throws MalformedResponseException {
    if (nameLength == 0) {
      return true;
    }
    if (!inValue) {
      throw new MalformedResponseException("a field line without a colon");
    }
    if (valueKept) {
      keep(value.toString().strip());
    }
    nameLength = 0;
    value.setLength(0);
    inValue = false;
    valueKept = false;
    return false;
  }

  private void keep(String framing) throws MalformedResponseException {
    if (hasFraming()) {
      throw new MalformedResponseException("several content lengths or transfer codings");
    }
    if (isNamed(TRANSFER_ENCODING)) {
      if (!framing.equalsIgnoreCase("chunked")) {
        throw new MalformedResponseException("an unknown transfer coding: " + framing);
      }
      chunked = true;
    } else {
      contentLength = OptionalLong.of(parseLength(framing));
    }
  }

  private static long parseLength(String text) throws MalformedResponseException {
    boolean valid = !text.isEmpty() && text.chars().allMatch(c -> ByteClasses.isDigit((byte) c));
    if (!valid || text.length() > MAX_LENGTH_DIGITS) {
      throw new MalformedResponseException("a malformed content length: " + text);
    }
    return Long.parseLong(text);
  }

  /** Returns whether the section has told where the content ends. */
  boolean hasFraming() {
    return chunked || contentLength.isPresent();
  }

  /** Returns the content length in bytes; empty if the section has none. */
  OptionalLong contentLength() {
    return contentLength;
  }

  /** Returns whether the content comes in chunks. */
  boolean isChunked() {
    return chunked;
  }

  /** Begins the next section. */
  void reset() {
    contentLength = OptionalLong.empty();
    chunked = false;
  }
}
