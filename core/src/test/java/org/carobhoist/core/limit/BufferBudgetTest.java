package org.carobhoist.core.limit;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

final class BufferBudgetTest {

  private final BufferBudget budget = BufferBudget.create(1_000);
  private final List<String> discarded = new ArrayList<>();

  private BufferBudget.Buffer open(String name) {
    return budget.open(() -> discarded.add(name));
  }

  @Test
  void discardsEndlessResponseAndKeepsTheOthers() {
    BufferBudget.Buffer small = open("small");
    BufferBudget.Buffer endless = open("endless");
    small.add(200);
    for (int i = 0; i < 8; i++) {
      endless.add(100);
    }
    assertThat(discarded).isEmpty();
    small.add(50);
    assertThat(discarded).containsExactly("endless");
    assertThat(budget.heldBytes()).isEqualTo(250);
    endless.close();
    assertThat(budget.heldBytes()).isEqualTo(250);
  }

  @Test
  void doesNotCountClosedBuffers() {
    for (int i = 0; i < 100; i++) {
      BufferBudget.Buffer b = open("b" + i);
      b.add(900);
      b.close();
    }
    assertThat(discarded).isEmpty();
    assertThat(budget.heldBytes()).isEqualTo(0);
  }

  @Test
  void discardsSingleBufferAboveTheLimit() {
    open("a").add(100);
    open("b").add(1_001);
    assertThat(discarded).containsExactly("b");
    assertThat(budget.heldBytes()).isEqualTo(100);
  }
}
