package org.carobhoist.core.http;

/**
 * Checks a status line: {@code HTTP/1.}, a digit, a space, three digits, and optionally a space and
 * a reason phrase. The space is required even before an empty phrase, but as many servers omit it
 * there, its absence is accepted.
 */
final class StatusLineValidator {

  private static final String PROTOCOL = "HTTP/1.";
  private static final int MINOR_VERSION = PROTOCOL.length();
  private static final int STATUS = MINOR_VERSION + 2;
  private static final int REASON = STATUS + 3;

  private static final int MIN_STATUS = 100;
  private static final int MAX_STATUS = 599;
  private static final int SWITCHING_PROTOCOLS = 101;

  private int length;
  private int minorVersion;
  private int status;

  /** Checks the next byte of the line. */
  void onByte(byte b) throws MalformedResponseException {
    int index = length;
    length = Math.min(length + 1, REASON + 1);
    if (index < MINOR_VERSION) {
      ByteClasses.check(
          b == PROTOCOL.charAt(index), "the status line doesn't begin with HTTP/1.", b);
    } else if (index == MINOR_VERSION) {
      ByteClasses.check(ByteClasses.isDigit(b), "the version in the status line is not a digit", b);
      minorVersion = b - '0';
    } else if (index == STATUS - 1) {
      ByteClasses.check(b == ' ', "no single space before the status code", b);
    } else if (index < REASON) {
      ByteClasses.check(ByteClasses.isDigit(b), "the status code is not of three digits", b);
      status = 10 * status + b - '0';
    } else if (index == REASON) {
      ByteClasses.check(b == ' ', "no space after the three digits of the status code", b);
    } else {
      ByteClasses.check(ByteClasses.isText(b), "a control byte in the reason phrase", b);
    }
  }

  /** Checks the whole line at its end. */
  void onEnd() throws MalformedResponseException {
    if (length < REASON) {
      throw new MalformedResponseException("the status line is too short");
    }
    if (status < MIN_STATUS || status > MAX_STATUS) {
      String code = String.format("%03d", status);
      throw new MalformedResponseException("the status code is not from 100 to 599: " + code);
    }
    if (status == SWITCHING_PROTOCOLS) {
      throw new MalformedResponseException("the protocol is switched without a request for it");
    }
  }

  /** Returns the status code of a line that has ended, from 100 to 599. */
  int status() {
    return status;
  }

  /** Returns whether the line says HTTP/1.0. */
  boolean isHttp10() {
    return minorVersion == 0;
  }

  /** Begins the next line. */
  void reset() {
    length = 0;
    minorVersion = 0;
    status = 0;
  }
}
