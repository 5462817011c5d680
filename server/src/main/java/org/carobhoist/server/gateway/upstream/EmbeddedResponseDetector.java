package org.carobhoist.server.gateway.upstream;

import io.netty.buffer.ByteBuf;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.function.Predicate;
import org.carobhoist.platform.CallHeaders;

/**
 * Finds the head of another response in a body. A server that breaks off a body and then sends a
 * response once more on the same connection fills the rest of the body with the head of the second
 * one. So does a second response after a body without a length.
 *
 * <p>A head is recognized by the id of a request that the connection has carried, together with a
 * stamp or a status line in the same block of lines. The status line alone may be missing, since
 * the codec skips what follows the size of a chunk in its line.
 */
final class EmbeddedResponseDetector {

  /** Number of characters kept of a line; the lines of a head that matter are shorter. */
  private static final int MAX_LINE_LENGTH = 512;

  private static final String PROTOCOL = "HTTP/";

  private final Predicate<String> isCarried;
  private String line = "";
  private String lastBytes = "";
  private boolean statusSeen;
  private boolean idSeen;
  private boolean stampSeen;
  private boolean suspicious;
  private boolean found;

  private EmbeddedResponseDetector(Predicate<String> isCarried) {
    this.isCarried = isCarried;
  }

  /**
   * Creates a detector for the body of one response.
   *
   * @param isCarried whether the connection has carried a request with the id
   */
  static EmbeddedResponseDetector create(Predicate<String> isCarried) {
    return new EmbeddedResponseDetector(isCarried);
  }

  /** Reads the next part of the body, and returns whether another head was found by now. */
  boolean feed(ByteBuf part) {
    String added = part.toString(StandardCharsets.ISO_8859_1);
    String text = line + added;
    int begin = 0;
    for (int end = text.indexOf('\n'); end >= 0; end = text.indexOf('\n', begin)) {
      onLine(text.substring(Math.max(begin, end - MAX_LINE_LENGTH), end));
      begin = end + 1;
    }
    line = text.substring(Math.max(begin, text.length() - MAX_LINE_LENGTH));
    lastBytes = end(lastBytes + end(added));
    return found;
  }

  /**
   * Returns whether the body so far may contain another head that can't be told from other text.
   * What follows the body on the connection decides on it.
   */
  boolean isSuspicious() {
    return suspicious || endsWithStatusLine();
  }

  /** Returns the last bytes of the body so far, as one character each. */
  String lastBytes() {
    return lastBytes;
  }

  private static String end(String text) {
    return text.substring(Math.max(0, text.length() - UnawaitedBytesHandler.MAX_TAIL_LENGTH));
  }

  private void onLine(String text) {
    if (text.isBlank()) {
      statusSeen = false;
      idSeen = false;
      stampSeen = false;
      return;
    }
    statusSeen |= StatusLines.isIn(text);
    stampSeen |= CallHeaders.isStampLine(text);
    idSeen |= CallHeaders.requestIdInLine(text).filter(isCarried).isPresent();
    suspicious |= statusSeen || stampSeen || idSeen;
    found |= idSeen && (statusSeen || stampSeen);
  }

  private boolean endsWithStatusLine() {
    String upperCase = line.toUpperCase(Locale.ROOT);
    for (int length = 1; length < PROTOCOL.length(); length++) {
      if (upperCase.endsWith(PROTOCOL.substring(0, length))) {
        return true;
      }
    }
    return upperCase.contains(PROTOCOL);
  }
}
