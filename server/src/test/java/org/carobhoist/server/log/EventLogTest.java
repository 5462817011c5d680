package org.carobhoist.server.log;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

final class EventLogTest {

  @Test
  void writesNumberTextAndFields() {
    assertThat(EventLog.line(LogEvent.LINK_UP, "peer", "horno-1", "count", 3))
        .isEqualTo("event=2001 text=\"link up\" peer=horno-1 count=3");
  }

  @Test
  void quotesValuesWithSpecialCharacters() {
    assertThat(value("")).isEqualTo("\"\"");
    assertThat(value("two words")).isEqualTo("\"two words\"");
    assertThat(value("a=b")).isEqualTo("\"a=b\"");
    assertThat(value("say \"hi\"")).isEqualTo("\"say \\\"hi\\\"\"");
    assertThat(value("C:\\")).isEqualTo("\"C:\\\\\"");
  }

  @Test
  void escapesLineBreaksAndControlCharacters() {
    assertThat(value("a\nevent=1\r\tb\u0000")).isEqualTo("\"a\\nevent=1\\r\\tb\\u0000\"");
  }

  @Test
  void writesNull() {
    assertThat(value(null)).isEqualTo("null");
  }

  private static String value(String text) {
    String line = EventLog.line(LogEvent.LINK_UP, "k", text);
    return line.substring(line.indexOf(" k=") + 3);
  }
}
