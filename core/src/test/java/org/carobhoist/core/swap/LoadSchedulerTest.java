package org.carobhoist.core.swap;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.List;
import org.carobhoist.core.common.InstanceId;
import org.carobhoist.core.common.WeightVersion;
import org.junit.jupiter.api.Test;

final class LoadSchedulerTest {

  private final LoadScheduler turns = LoadScheduler.create(2, 0.25, Duration.ofMillis(600));

  private static LoadScheduler.Candidate engine(
      String id, long version, int runs, long remainingMillis) {
    return new LoadScheduler.Candidate(
        new InstanceId(id),
        new WeightVersion(version),
        new WeightVersion(6),
        runs,
        Duration.ofMillis(remainingMillis));
  }

  private List<String> next(int loading, LoadScheduler.Candidate... candidates) {
    return nextOf(candidates.length + loading, loading, candidates);
  }

  private List<String> nextOf(int engines, int loading, LoadScheduler.Candidate... candidates) {
    return turns.next(List.of(candidates), loading, engines, engines).stream()
        .map(InstanceId::value)
        .toList();
  }

  @Test
  void tooOldEnginesLoadFirst() {
    assertThat(next(0, engine("idle", 6, 0, 0), engine("old", 5, 9, 5_000), engine("b", 6, 0, 0)))
        .containsExactly("old", "b")
        .inOrder();
  }

  @Test
  void engineWithLongRunsDoesNotLoadWhileItsVersionIsAccepted() {
    assertThat(next(0, engine("long", 6, 1, 2_000), engine("short", 6, 3, 500)))
        .containsExactly("short");
  }

  @Test
  void acceptedEnginesDoNotLoadOnceHalfHaveNewestVersion() {
    assertThat(nextOf(4, 0, engine("a", 6, 0, 0), engine("b", 6, 0, 0))).isEmpty();
    assertThat(nextOf(4, 0, engine("a", 5, 0, 0), engine("b", 6, 0, 0))).containsExactly("a");
    assertThat(nextOf(5, 0, engine("a", 6, 0, 0), engine("b", 6, 0, 0), engine("c", 6, 0, 0)))
        .containsExactly("a", "b");
  }

  @Test
  void concurrentLoadsGrowWithNumberOfEngines() {
    List<LoadScheduler.Candidate> waiting =
        List.of(engine("a", 5, 0, 0), engine("b", 5, 0, 0), engine("c", 5, 0, 0));
    assertThat(turns.next(waiting, 0, 5, 8)).hasSize(2);
    assertThat(turns.next(waiting, 0, 5, 12)).hasSize(3);
    assertThat(turns.next(waiting, 2, 5, 12)).hasSize(1);
  }

  @Test
  void limitsConcurrentLoads() {
    assertThat(next(1, engine("a", 5, 0, 0), engine("b", 5, 0, 0))).containsExactly("a");
    assertThat(next(2, engine("a", 5, 0, 0))).isEmpty();
    assertThat(next(3, engine("a", 5, 0, 0))).isEmpty();
  }
}
