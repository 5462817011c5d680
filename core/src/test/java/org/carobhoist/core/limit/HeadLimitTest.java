package org.carobhoist.core.limit;

import static com.google.common.truth.Truth.assertThat;

import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

/** Guards against heads whose lines take more memory than their bytes, and endless blank lines. */
final class HeadLimitTest {

  private final HeadLimit limit = HeadLimit.create(10, 20);

  /** Counts the bytes of a text; returns how many were counted. */
  private int count(String text) {
    byte[] bytes = text.getBytes(StandardCharsets.US_ASCII);
    for (int i = 0; i < bytes.length; i++) {
      if (!limit.onByte(bytes[i])) {
        return i + 1;
      }
    }
    return bytes.length;
  }

  @Test
  void headEndsAtItsEmptyLine() {
    String head = "\r\nGET / HTTP/1.1\r\nhost: a\r\n\r\n";
    assertThat(count(head + "body\n\n\n")).isEqualTo(head.length());
    assertThat(limit.isEnded()).isTrue();
    assertThat(limit.isExceeded()).isFalse();
  }

  @Test
  void headWithBareLineFeedsEnds() {
    assertThat(count("GET / HTTP/1.1\nhost: a\n\nbody")).isEqualTo(24);
    assertThat(limit.isEnded()).isTrue();
  }

  @Test
  void tooManyLinesExceedTheLimit() {
    assertThat(count("GET / HTTP/1.1\r\n" + "a:\r\n".repeat(100))).isLessThan(70);
    assertThat(limit.isExceeded()).isTrue();
  }

  @Test
  void blankBytesBeforeTheHeadExceedTheLimit() {
    assertThat(count("\r\n".repeat(100))).isEqualTo(21);
    assertThat(limit.isExceeded()).isTrue();
  }

  @Test
  void nextHeadIsCountedFromItsStart() {
    for (int i = 0; i < 100; i++) {
      assertThat(count("GET / HTTP/1.1\r\nhost: a\r\n\r\n")).isEqualTo(27);
      assertThat(limit.isExceeded()).isFalse();
      limit.reset();
      assertThat(limit.memoryBytes()).isEqualTo(0);
    }
  }
}
