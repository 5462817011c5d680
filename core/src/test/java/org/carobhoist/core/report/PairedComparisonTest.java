package org.carobhoist.core.report;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

final class PairedComparisonTest {

  private final PairedComparison comparison = PairedComparison.of(List.of("old", "new"));

  private void add(String day, long seed, String variant, double worth) {
    comparison.add(new PlayKey("site", day, seed), variant, Map.of("worth", worth));
  }

  @Test
  void comparesPairsOfTheSameDayAndSeed() {
    add("a", 1, "old", 0.5);
    add("a", 1, "new", 0.6);
    add("a", 2, "old", 0.9);
    add("a", 2, "new", 1.1);
    assertThat(comparison.table())
        .contains("| site | a | worth | 0.700 | new | 0.850 | +0.150 ± 0.635 | 2 |");
  }

  @Test
  void summarizesAllDaysOfSite() {
    add("a", 1, "old", 0.5);
    add("a", 1, "new", 0.6);
    add("b", 1, "old", 0.2);
    add("b", 1, "new", 0.3);
    assertThat(comparison.table())
        .contains("| site | all | worth | 0.350 | new | 0.450 | +0.100 ± 0.000 | 2 |");
  }

  @Test
  void leavesOutPlaysWithoutCounterpart() {
    add("a", 1, "old", 0.5);
    add("a", 1, "new", 0.6);
    add("a", 2, "old", 0.1);
    add("b", 1, "new", 0.1);
    List<String> table = comparison.table();
    assertThat(table).contains("| site | a | worth | 0.500 | new | 0.600 | +0.100 | 1 |");
    assertThat(String.join("\n", table)).doesNotContain("| b |");
  }

  @Test
  void intervalFollowsStudentsDistribution() {
    assertThat(PairedComparison.halfInterval(List.of(1.0, 2.0, 3.0)))
        .isWithin(0.001)
        .of(4.303 / Math.sqrt(3));
  }
}
