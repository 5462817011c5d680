package org.carobhoist.standin;

import java.nio.charset.StandardCharsets;

/**
 * Responses that are not valid HTTP/1.1, but that a lenient recipient takes for a success. Each one
 * is complete, and its content is an event stream.
 */
public enum MalformedResponse {
  /** The status code isn't in the range of status codes. */
  STATUS_000("HTTP/1.1 000 Status", "", Framing.LENGTH, ""),
  /** The status code has four digits. */
  STATUS_OF_FOUR_DIGITS("HTTP/1.1 0200 OK", "", Framing.LENGTH, ""),
  /** The status code has a sign. */
  STATUS_WITH_SIGN("HTTP/1.1 +200 OK", "", Framing.LENGTH, ""),
  /** The status code is above the range of status codes. */
  STATUS_600("HTTP/1.1 600 Status", "", Framing.LENGTH, ""),
  /** A control byte comes before the status line. */
  CONTROL_BYTE_BEFORE_STATUS_LINE("\u0001HTTP/1.1 200 OK", "", Framing.LENGTH, ""),
  /** The name of a field holds a blank. */
  BLANK_IN_NAME("HTTP/1.1 200 OK", "x-note a: b\r\n", Framing.LENGTH, ""),
  /** A blank stands between the name of a field and the colon. */
  BLANK_BEFORE_COLON("HTTP/1.1 200 OK", "x-note : b\r\n", Framing.LENGTH, ""),
  /** The name of a field holds a control byte. */
  CONTROL_BYTE_IN_NAME("HTTP/1.1 200 OK", "x-\u0001note: b\r\n", Framing.LENGTH, ""),
  /** The name of a field holds a tab. */
  TAB_IN_NAME("HTTP/1.1 200 OK", "x-note\ta: b\r\n", Framing.LENGTH, ""),
  /** A name with a blank is shortened to that of the content length. */
  BLANK_IN_NAME_OF_LENGTH("HTTP/1.1 200 OK", "content-length a: 9\r\n", Framing.NONE, ""),
  /** A name with a blank is shortened to that of the transfer coding. */
  BLANK_IN_NAME_OF_CODING("HTTP/1.1 200 OK", "transfer-encoding a: chunked\r\n", Framing.NONE, ""),
  /** The value of a field holds a null byte. */
  NULL_BYTE_IN_VALUE("HTTP/1.1 200 OK", "x-note: a\u0000b\r\n", Framing.LENGTH, ""),
  /** A line of the head has no colon. */
  LINE_WITHOUT_COLON("HTTP/1.1 200 OK", "x-note\r\n", Framing.LENGTH, ""),
  /** Both a content length and a transfer coding tell the end of the content. */
  TWO_FRAMINGS("HTTP/1.1 200 OK", "content-length: 9\r\n", Framing.CHUNKED, ""),
  /** An informational response comes first, with a blank in the name of a field. */
  BLANK_IN_INFORMATIONAL_HEAD(
      "HTTP/1.1 103 Early Hints\r\nx-note a: b\r\n\r\nHTTP/1.1 200 OK", "", Framing.LENGTH, ""),
  /** The line with the size of a chunk holds more than the size. */
  TEXT_AFTER_CHUNK_SIZE("HTTP/1.1 200 OK", "", Framing.CHUNKED_WITH_TEXT, ""),
  /** The name of a field of the trailers holds a blank. */
  BLANK_IN_TRAILERS("HTTP/1.1 200 OK", "", Framing.CHUNKED, "x-note a: b\r\n");

  private enum Framing {
    LENGTH("content-length: %d\r\n", ""),
    NONE("", "%x\r\n"),
    CHUNKED("transfer-encoding: chunked\r\n", "%x\r\n"),
    CHUNKED_WITH_TEXT("transfer-encoding: chunked\r\n", "%x and more\r\n");

    private final String field;
    private final String chunkSize;

    Framing(String field, String chunkSize) {
      this.field = field;
      this.chunkSize = chunkSize;
    }
  }

  /** Text that is part of the content of each response. */
  public static final String TEXT = "malformed";

  private static final String CONTENT = "id: 1\ndata: " + TEXT + "\n\n";

  private final String statusLine;
  private final String lines;
  private final Framing framing;
  private final String trailers;

  MalformedResponse(String statusLine, String lines, Framing framing, String trailers) {
    this.statusLine = statusLine;
    this.lines = lines;
    this.framing = framing;
    this.trailers = trailers;
  }

  /** Returns the response to a request, with a server's stamp. */
  public byte[] bytes(String requestId, String stamp) {
    String head =
        statusLine
            + "\r\ncarobhoist-request-id: "
            + requestId
            + "\r\ncarobhoist-server-stamp: "
            + stamp
            + "\r\ncarobhoist-weight-versions: 1\r\ncontent-type: text/event-stream\r\n"
            + lines
            + String.format(framing.field, CONTENT.length())
            + "\r\n";
    String content =
        framing.chunkSize.isEmpty()
            ? CONTENT
            : String.format(framing.chunkSize, CONTENT.length())
                + CONTENT
                + "\r\n0\r\n"
                + trailers
                + "\r\n";
    return (head + content).getBytes(StandardCharsets.ISO_8859_1);
  }
}
