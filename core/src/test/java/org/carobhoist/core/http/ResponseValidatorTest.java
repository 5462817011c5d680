package org.carobhoist.core.http;

import static com.google.common.truth.Truth.assertWithMessage;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against malformed responses that pass for valid ones, and the reverse. */
final class ResponseValidatorTest {

  private static final String OK = "HTTP/1.1 200 OK\r\n";
  private static final String BLANKS =
      "                                                                          ";
  private static final String CHUNKED = OK + "Transfer-Encoding: chunked\r\n\r\n";

  /** Returns how many responses have ended; checks pieces of the given size. */
  private static int check(String responses, int pieceLength, boolean isHead)
      throws MalformedResponseException {
    ResponseValidator validator = ResponseValidator.create();
    validator.onRequest(isHead);
    byte[] bytes = responses.getBytes(StandardCharsets.ISO_8859_1);
    int ended = 0;
    for (int begin = 0; begin < bytes.length; begin += pieceLength) {
      int length = Math.min(pieceLength, bytes.length - begin);
      ByteBuffer piece = ByteBuffer.wrap(bytes, begin, length);
      while (piece.hasRemaining()) {
        ended += validator.check(piece) ? 1 : 0;
      }
    }
    return ended;
  }

  private static void assertEnds(String response, boolean isHead) throws Exception {
    for (int pieceLength : new int[] {1, 7, 1_000}) {
      // A second response shows that the end of the first was found.
      assertWithMessage(response)
          .that(check(response + response, pieceLength, isHead))
          .isEqualTo(2);
    }
  }

  private static void assertMalformed(String response) {
    for (int pieceLength : new int[] {1, 7, 1_000}) {
      boolean malformed = false;
      try {
        check(response, pieceLength, false);
      } catch (MalformedResponseException e) {
        malformed = true;
      }
      assertWithMessage(response).that(malformed).isTrue();
    }
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        OK + "Content-Length: 2\r\n\r\nab",
        OK + "content-length:\t002 \r\n\r\n\r\n",
        "HTTP/1.1 200 OK\nContent-Length: 2\n\nab",
        "HTTP/1.1 200 \r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 200\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.0 599 \t\351 !~\r\nContent-Length: 0\r\n\r\n",
        OK + "!#$%&'*+-.^_`|~09azAZ: \t\377\200 ~\"\r\nx:\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 204 No Content\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 304 Not Modified\r\nContent-Length: 9\r\n\r\n",
        "HTTP/1.1 103 Early Hints\r\nLink: <a>\r\n\r\nHTTP/1.1 102 \r\n\r\n"
            + "HTTP/1.1 404 Not Found\r\nContent-Length: 1\r\n\r\na",
        CHUNKED + "0\r\n\r\n",
        CHUNKED + "00a \t;a=\"b;\351\"\r\n0123456789\r\n1\nx\n0;b\r\nDigest: a\r\nx:\n\r\n",
        OK + "transfer-encoding:CHUNKED\r\n\r\n2\r\n\r\n\r\n0\r\n\r\n",
      })
  void validResponseEndsWhereItsContentEnds(String response) throws Exception {
    assertEnds(response, false);
  }

  @ParameterizedTest
  @ValueSource(strings = {"Content-Length: 9\r\n", "Transfer-Encoding: chunked\r\n", ""})
  void responseToHeadHasNoContent(String field) throws Exception {
    assertEnds(OK + field + "\r\n", true);
  }

  @Test
  void contentWithoutLengthEndsWithTheConnection() throws Exception {
    String response = OK + "\r\n" + "any \u0000 bytes\r\n\r\nHTTP/1.1 000 A\r\nb c: d\r\n\r\n";
    assertWithMessage("ended responses").that(check(response, 1, false)).isEqualTo(0);
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "000", "099", "600", "999", "101", "0200", "2000", "+200", "-200", "20", "20x", "2 0", "0x9"
      })
  void statusCodeIsOfThreeDigitsInItsRange(String code) {
    assertMalformed("HTTP/1.1 " + code + "\r\n\r\n");
    assertMalformed("HTTP/1.1 " + code + " OK\r\nContent-Length: 0\r\n\r\n");
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "\r\nHTTP/1.1 200 OK",
        "\u0001HTTP/1.1 200 OK",
        " HTTP/1.1 200 OK",
        "http/1.1 200 OK",
        "HTTP/2.0 200 OK",
        "HTTP/1.x 200 OK",
        "HTTP/1.10 200 OK",
        "HTTP/1.1  200 OK",
        "HTTP/1.1\t200 OK",
        "HTTP/1.1 200\tOK",
        "HTTP/1.1 200 O\u0000K",
        "HTTP/1.1 200 O\rK",
        "HTTP/1.1 200 O\u007fK",
      })
  void statusLineHasOneForm(String statusLine) {
    assertMalformed(statusLine + "\r\nContent-Length: 0\r\n\r\n");
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "a b: c",
        "a : b",
        "a\t: b",
        "\u0001a: b",
        "a\u0000: b",
        "a\u007f: b",
        "a\351: b",
        "a(: b",
        ": b",
        "a",
        " a: b",
        "a: b\r\n c",
        "a: b\u0000c",
        "a: b\u0008",
        "a: b\rc",
        "a: b\r\r\nc: d",
      })
  void fieldLineIsWellFormedBeforeContentInHeadsAndInTrailers(String line) {
    assertMalformed(OK + line + "\r\nContent-Length: 0\r\n\r\n");
    assertMalformed("HTTP/1.1 103 Early Hints\r\n" + line + "\r\n\r\n");
    assertMalformed(CHUNKED + "0\r\n" + line + "\r\n\r\n");
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        OK + "Content-Length: 1\r\nContent-Length: 1\r\n\r\na",
        OK + "Content-Length: 1, 1\r\n\r\na",
        OK + "Content-Length: +1\r\n\r\na",
        OK + "Content-Length:\r\n\r\n",
        OK + "Content-Length: 9999999999999999999\r\n\r\n",
        OK + "Transfer-Encoding: chunked\r\nContent-Length: 1\r\n\r\n",
        OK + "Transfer-Encoding: chunked" + BLANKS + ", gzip\r\n\r\n",
        OK + "Transfer-Encoding: gzip, chunked\r\n\r\n",
        OK + "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n",
        "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
        "HTTP/1.1 204 No Content\r\nContent-Length: 1\r\n\r\na",
        "HTTP/1.1 204 No Content\r\nTransfer-Encoding: chunked\r\n\r\n",
        "HTTP/1.1 103 Early Hints\r\nContent-Length: 1\r\n\r\na",
        CHUNKED + "1 a\r\n",
        CHUNKED + " 1\r\n",
        CHUNKED + "\r\n",
        CHUNKED + "0x1\r\n",
        CHUNKED + ";a\r\n",
        CHUNKED + "1 \r\n",
        CHUNKED + "80000000\r\n",
        CHUNKED + "1;a\u0000\r\n",
        CHUNKED + "1\r\nab\r\n",
        CHUNKED + "1\r\na1\r\n",
        CHUNKED + "0\r\nContent-Length: 1\r\n\r\n",
      })
  void endOfContentIsCertain(String response) {
    assertMalformed(response);
  }
}
