package org.carobhoist.server.log;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

final class LineBudgetTest {

  private long nanos;

  private final LineBudget budget = new LineBudget(2, () -> nanos);

  @Test
  void eachEventHasItsOwnLinesEachSecond() {
    assertThat(budget.take(LogEvent.LINK_UP)).isEqualTo(0);
    assertThat(budget.take(LogEvent.LINK_UP)).isEqualTo(0);
    assertThat(budget.take(LogEvent.LINK_UP)).isEqualTo(-1);
    assertThat(budget.take(LogEvent.LINK_DOWN)).isEqualTo(0);
  }

  @Test
  void whatIsLeftOutIsToldWithTheNextLine() {
    for (int i = 0; i < 5; i++) {
      budget.take(LogEvent.LINK_UP);
    }
    nanos = 1_000_000_000L;
    assertThat(budget.take(LogEvent.LINK_UP)).isEqualTo(3);
    assertThat(budget.take(LogEvent.LINK_UP)).isEqualTo(0);
  }
}
