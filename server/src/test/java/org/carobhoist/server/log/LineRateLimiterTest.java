package org.carobhoist.server.log;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

final class LineRateLimiterTest {

  private long nanos;

  private final LineRateLimiter limiter = new LineRateLimiter(2, () -> nanos);

  @Test
  void limitsEachEventSeparately() {
    assertThat(limiter.acquire(LogEvent.LINK_UP)).isEqualTo(0);
    assertThat(limiter.acquire(LogEvent.LINK_UP)).isEqualTo(0);
    assertThat(limiter.acquire(LogEvent.LINK_UP)).isEqualTo(-1);
    assertThat(limiter.acquire(LogEvent.LINK_DOWN)).isEqualTo(0);
  }

  @Test
  void nextLineReportsDroppedCount() {
    for (int i = 0; i < 5; i++) {
      limiter.acquire(LogEvent.LINK_UP);
    }
    nanos = 1_000_000_000L;
    assertThat(limiter.acquire(LogEvent.LINK_UP)).isEqualTo(3);
    assertThat(limiter.acquire(LogEvent.LINK_UP)).isEqualTo(0);
  }
}
