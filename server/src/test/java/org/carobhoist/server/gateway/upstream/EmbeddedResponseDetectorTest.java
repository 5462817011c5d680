package org.carobhoist.server.gateway.upstream;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

/** Guards against bodies that contain the head of another response. */
final class EmbeddedResponseDetectorTest {

  private static final String HEAD =
      "HTTP/1.1 500 Status\r\nCarobhoist-Request-Id: r1\r\nCarobhoist-Server-Stamp: 3e1b\r\n\r\n";

  private final EmbeddedResponseDetector detector = EmbeddedResponseDetector.create("r1"::equals);

  private boolean feed(String part) {
    return detector.feed(Unpooled.copiedBuffer(part, StandardCharsets.US_ASCII));
  }

  @Test
  void findsHeadInAnyTwoParts() {
    String body = "body" + HEAD + "rest";
    for (int cut = 0; cut <= body.length(); cut++) {
      EmbeddedResponseDetector parts = EmbeddedResponseDetector.create("r1"::equals);
      parts.feed(Unpooled.copiedBuffer(body.substring(0, cut), StandardCharsets.US_ASCII));
      boolean found =
          parts.feed(Unpooled.copiedBuffer(body.substring(cut), StandardCharsets.US_ASCII));
      assertWithMessage("cut at %s", cut).that(found).isTrue();
    }
  }

  @Test
  void findsHeadAfterLongLine() {
    assertThat(feed("x".repeat(100_000) + HEAD)).isTrue();
  }

  @Test
  void ignoresHeadsOfOtherConnections() {
    assertThat(feed(HEAD.replace("r1", "r2"))).isFalse();
  }

  @Test
  void ignoresTheHeadersOfTheRequest() {
    assertThat(feed("GET / HTTP/1.1\r\nCarobhoist-Request-Id: r1\r\nHost: a\r\n\r\n")).isFalse();
  }

  @Test
  void ignoresLinesOfDifferentBlocks() {
    assertThat(feed("HTTP/1.1 200 OK\n\nCarobhoist-Request-Id: r1\n\n")).isFalse();
  }

  @Test
  void bodyWithWhatMayBeHeadIsSuspicious() {
    feed("text ");
    assertThat(detector.isSuspicious()).isFalse();
    feed("H");
    assertThat(detector.isSuspicious()).isTrue();
    feed("ello\n");
    assertThat(detector.isSuspicious()).isFalse();
    feed("HTTP/1.1 200 OK\r\n");
    assertThat(detector.isSuspicious()).isTrue();
    feed("\r\nmore");
    assertThat(detector.isSuspicious()).isTrue();
  }
}
