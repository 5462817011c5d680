package org.carobhoist.core.limit;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

final class BufferBudgetTest {

  private final BufferBudget budget = BufferBudget.create(1_000);
  private final List<String> cut = new ArrayList<>();

  private BufferBudget.Buffer open(String name) {
    return budget.open(() -> cut.add(name));
  }

  @Test
  void answerThatGrowsWithoutEndIsCutAndTheOthersGoOn() {
    BufferBudget.Buffer small = open("small");
    BufferBudget.Buffer endless = open("endless");
    small.add(200);
    for (int i = 0; i < 8; i++) {
      endless.add(100);
    }
    assertThat(cut).isEmpty();
    small.add(50);
    assertThat(cut).containsExactly("endless");
    assertThat(budget.held()).isEqualTo(250);
    endless.close();
    assertThat(budget.held()).isEqualTo(250);
  }

  @Test
  void whatIsClosedCountsNoMore() {
    for (int i = 0; i < 100; i++) {
      BufferBudget.Buffer b = open("b" + i);
      b.add(900);
      b.close();
    }
    assertThat(cut).isEmpty();
    assertThat(budget.held()).isEqualTo(0);
  }

  @Test
  void partThatIsTooLargeByItselfIsCut() {
    open("a").add(100);
    open("b").add(1_001);
    assertThat(cut).containsExactly("b");
    assertThat(budget.held()).isEqualTo(100);
  }
}
