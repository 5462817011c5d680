package org.carobhoist.core.request;

import static com.google.common.truth.Truth.assertWithMessage;

import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Guards against a stream that was cut in the middle of an event and passes for a complete one. */
final class EventStreamPositionTest {

  private static boolean isBetweenEvents(String stream) {
    EventStreamPosition position = EventStreamPosition.atStart();
    for (byte b : stream.getBytes(StandardCharsets.UTF_8)) {
      position.advance(new byte[] {b});
    }
    return position.isBetweenEvents();
  }

  @Test
  void completeEventsEndWithBlankLine() {
    for (String stream :
        List.of(
            "",
            "id: 1\ndata: a\n\n",
            "data: a\r\n\r\n",
            "data: a\r\r",
            "data: a\n\n\n",
            "data: a\n\n: comment\n",
            ": comm",
            "data: a\n\ndata: b\n\n")) {
      assertWithMessage(stream).that(isBetweenEvents(stream)).isTrue();
    }
  }

  @Test
  void eventWithoutBlankLineIsIncomplete() {
    for (String stream :
        List.of(
            "d",
            "data: a",
            "data: a\n",
            "data: a\r\n",
            "data: a\n\nid: 2",
            "data: a\n: comment\n",
            "data: a\n\n\ndata: b\n")) {
      assertWithMessage(stream).that(isBetweenEvents(stream)).isFalse();
    }
  }
}
