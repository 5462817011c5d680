package org.carobhoist.core.swap;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.carobhoist.core.common.InstanceId;
import org.carobhoist.core.common.WeightVersion;
import org.junit.jupiter.api.Test;

final class ModelAssignmentTest {

  private static final List<String> MODELS = List.of("m0", "m1", "m2");

  private final ModelAssignment shares = ModelAssignment.create(1);

  private static ModelAssignment.EngineWeights engine(int number, long... versions) {
    Map<String, WeightVersion> all = new HashMap<>();
    for (int i = 0; i < versions.length; i++) {
      all.put("m" + i, new WeightVersion(versions[i]));
    }
    return new ModelAssignment.EngineWeights(new InstanceId("e-" + (10 + number)), all);
  }

  private static List<ModelAssignment.EngineWeights> engines(int count) {
    List<ModelAssignment.EngineWeights> out = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      out.add(engine(i, 1, 1, 1));
    }
    return out;
  }

  private static long count(Map<InstanceId, Set<String>> assignment, String model) {
    return assignment.values().stream().filter(s -> s.contains(model)).count();
  }

  @Test
  void assignsEnginesEvenly() {
    Map<InstanceId, Set<String>> assignment = shares.assign(engines(11), MODELS, Map.of());
    assertThat(assignment).hasSize(11);
    assignment.values().forEach(s -> assertThat(s).hasSize(1));
    MODELS.forEach(m -> assertThat(count(assignment, m)).isAtLeast(3));
  }

  @Test
  void fewEnginesFollowEveryModel() {
    Map<InstanceId, Set<String>> assignment = shares.assign(engines(8), MODELS, Map.of());
    assignment.values().forEach(s -> assertThat(s).containsExactlyElementsIn(MODELS));
  }

  @Test
  void assignsEnginesWithSeveralModelsEvenly() {
    ModelAssignment pairs = ModelAssignment.create(2);
    for (int count = 5; count < 40; count++) {
      Map<InstanceId, Set<String>> assignment = pairs.assign(engines(count), MODELS, Map.of());
      assertThat(assignment).hasSize(count);
      assignment.values().forEach(s -> assertThat(s).hasSize(2));
      for (String m : MODELS) {
        assertThat(count(assignment, m)).isAtLeast(2 * count / 3);
        assertThat(count(assignment, m)).isAtMost((2 * count + 2) / 3);
      }
    }
  }

  @Test
  void keepsModelsOfRemainingEnginesWhenOthersAreLost() {
    ModelAssignment pairs = ModelAssignment.create(2);
    List<ModelAssignment.EngineWeights> all = engines(12);
    Map<InstanceId, Set<String>> before = pairs.assign(all, MODELS, Map.of());
    List<ModelAssignment.EngineWeights> rest = new ArrayList<>(all);
    rest.removeIf(h -> before.get(h.engine()).equals(Set.of("m0", "m1")));
    Map<InstanceId, Set<String>> after = pairs.assign(rest, MODELS, Map.of());
    long lost = all.size() - rest.size();
    long moved =
        rest.stream().filter(h -> !before.get(h.engine()).equals(after.get(h.engine()))).count();
    assertThat(lost).isGreaterThan(0);
    assertThat(moved).isAtMost(lost);
    MODELS.forEach(m -> assertThat(count(after, m)).isAtLeast(2 * rest.size() / 3));
  }

  @Test
  void allEnginesFollowAllModelsIfNoMoreThanPerEngine() {
    Map<InstanceId, Set<String>> assignment =
        ModelAssignment.create(2).assign(engines(27), List.of("m0", "m1"), Map.of());
    assignment.values().forEach(s -> assertThat(s).containsExactly("m0", "m1"));
  }

  @Test
  void allEnginesFollowTheOnlyModel() {
    Map<InstanceId, Set<String>> assignment = shares.assign(engines(20), List.of("m0"), Map.of());
    assertThat(count(assignment, "m0")).isEqualTo(20);
  }

  @Test
  void lossOfEnginesReassignsAsFewAsPossible() {
    List<ModelAssignment.EngineWeights> all = engines(12);
    Map<InstanceId, Set<String>> before = shares.assign(all, MODELS, Map.of());
    List<ModelAssignment.EngineWeights> rest = new ArrayList<>(all);
    rest.removeIf(h -> before.get(h.engine()).contains("m1"));
    rest.add(all.stream().filter(h -> before.get(h.engine()).contains("m1")).findAny().get());
    Map<InstanceId, Set<String>> after = shares.assign(rest, MODELS, Map.of());
    long moved =
        rest.stream().filter(h -> !before.get(h.engine()).equals(after.get(h.engine()))).count();
    assertThat(moved).isEqualTo(2);
    MODELS.forEach(m -> assertThat(count(after, m)).isEqualTo(3));
  }

  @Test
  void newCoordinatorKeepsModelsThatEnginesServe() {
    Map<String, WeightVersion> newest =
        Map.of("m0", new WeightVersion(9), "m1", new WeightVersion(7), "m2", new WeightVersion(8));
    List<ModelAssignment.EngineWeights> holders = new ArrayList<>();
    for (int i = 0; i < 9; i++) {
      int model = i % 3;
      holders.add(engine(i, model == 0 ? 9 : 1, model == 1 ? 6 : 2, model == 2 ? 8 : 1));
    }
    Map<InstanceId, Set<String>> assignment = shares.assign(holders, MODELS, newest);
    for (int i = 0; i < 9; i++) {
      assertThat(assignment.get(holders.get(i).engine())).containsExactly("m" + i % 3);
    }
  }
}
