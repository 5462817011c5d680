package org.carobhoist.server.gateway;

import io.netty.buffer.ByteBuf;
import java.nio.charset.StandardCharsets;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.carobhoist.platform.CallHeaders;

/**
 * Finds a second response to a request in the body of the first. A server that breaks off a body
 * and then sends its response once more on the same connection fills the rest of the body with the
 * head of the second one. So does a second response after a body without a length.
 */
final class EmbeddedResponseDetector {

  private static final String PROTOCOL = "HTTP/1.";
  private static final Pattern STATUS_LINE = Pattern.compile("HTTP/1\\.\\d \\d{3}\\b");
  private static final Pattern HEAD_END = Pattern.compile("\\n\\r?\\n");

  /** Number of characters after which a status line is recognized. */
  private static final int STATUS_LINE_LENGTH = "HTTP/1.1 200 ".length();

  private static final int MAX_HEAD_LENGTH = 16 * 1024;

  private final String id;
  private String rest = "";
  private boolean found;

  private EmbeddedResponseDetector(String id) {
    this.id = id;
  }

  /**
   * Creates a detector for the body of one response.
   *
   * @param id id of the request; must not be empty
   */
  static EmbeddedResponseDetector forRequest(String id) {
    return new EmbeddedResponseDetector(id);
  }

  /** Reads the next part of the body, and returns whether a second response was found by now. */
  boolean feed(ByteBuf part) {
    String text = rest + part.toString(StandardCharsets.ISO_8859_1);
    int begin = nextCandidate(text, 0);
    while (!found && text.length() - begin >= STATUS_LINE_LENGTH) {
      int next = examine(text, begin);
      if (next == begin) {
        break;
      }
      begin = next;
    }
    rest = text.substring(begin);
    return found;
  }

  /** Returns whether the body so far ends within what may be the head of a second response. */
  boolean isInHead() {
    return !rest.isEmpty();
  }

  /** Returns the position of the next candidate, or {@code begin} if this one is undecided. */
  private int examine(String text, int begin) {
    if (!matcher(STATUS_LINE, text, begin, text.length()).lookingAt()) {
      return nextCandidate(text, begin + 1);
    }
    Matcher end = matcher(HEAD_END, text, begin, text.length());
    boolean complete = end.find();
    int headEnd = complete ? end.end() : text.length();
    found = matcher(CallHeaders.requestIdLine(id), text, begin, headEnd).find();
    boolean decided = complete || headEnd - begin > MAX_HEAD_LENGTH;
    return !found && decided ? nextCandidate(text, begin + 1) : begin;
  }

  private static Matcher matcher(Pattern pattern, String text, int begin, int end) {
    return pattern.matcher(text).region(begin, end);
  }

  /** Returns where the next status line may begin, or the text's length if there is no place. */
  private static int nextCandidate(String text, int from) {
    int start = text.indexOf(PROTOCOL, from);
    if (start >= 0) {
      return start;
    }
    int tail = Math.max(from, text.length() - PROTOCOL.length() + 1);
    while (tail < text.length() && !PROTOCOL.startsWith(text.substring(tail))) {
      tail++;
    }
    return tail;
  }
}
