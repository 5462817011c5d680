package org.carobhoist.core.report;

import static com.google.common.truth.Truth.assertThat;

import java.time.Instant;
import org.junit.jupiter.api.Test;

final class LogLineTest {

  @Test
  void parsesLineAfterCollectorPrefix() {
    LogLine line =
        LogLine.parse(
                "  12.3 front-1 | 2026-12-04T04:45:43.376Z INFO event=7206 text=\"run ended\""
                    + " job=j item=a run=17 why=\"a \\\"b\\\" c=d\" events=4")
            .orElseThrow();
    assertThat(line.at()).isEqualTo(Instant.parse("2026-12-04T04:45:43.376Z"));
    assertThat(line.event()).isEqualTo(7206);
    assertThat(line.text("job")).isEqualTo("j");
    assertThat(line.number("events")).isEqualTo(4);
    assertThat(line.text("why")).isEqualTo("a \\\"b\\\" c=d");
    assertThat(line.text("d")).isEmpty();
    assertThat(line.number("item")).isEqualTo(0);
  }

  @Test
  void ignoresUnstructuredLines() {
    assertThat(LogLine.parse("")).isEmpty();
    assertThat(LogLine.parse("java.lang.IllegalStateException: event=1 ")).isEmpty();
    assertThat(LogLine.parse("yesterdayZ INFO event=7 x=1")).isEmpty();
  }
}
