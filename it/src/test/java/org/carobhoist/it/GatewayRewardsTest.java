package org.carobhoist.it;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import org.carobhoist.standin.PlatformDocuments;
import org.carobhoist.standin.PlatformServerStandIn;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.api.parallel.Execution;
import org.junit.jupiter.api.parallel.ExecutionMode;

/**
 * Guards against missing scores and against items or scorer calls that run twice when a scorer
 * fails, an entry is killed, a job is submitted with another scorer, or a job ends.
 */
@Execution(ExecutionMode.CONCURRENT)
final class GatewayRewardsTest {

  private static final String JOBS = PlatformDocuments.JOBS_HOST;

  @TempDir private Path folder;

  private static int submit(GatewayCluster cluster, String entry, String job, String id) {
    return cluster.post(entry, JOBS, "/j", job, id).status().code();
  }

  /** Adds a scorer that rejects all calls, so that completed texts stay without a score. */
  private static PlatformServerStandIn addRejectingApp(GatewayCluster cluster) {
    PlatformServerStandIn app = cluster.addServer("s-1", "app", false);
    app.setForcedStatus(503);
    cluster.awaitReady("entry-1");
    cluster.awaitReady("entry-2");
    return app;
  }

  private static void awaitCompleteTexts(PlatformServerStandIn engine) {
    TestCluster.await(
        "every text is complete",
        () -> List.of("a", "b", "c", "d").stream().allMatch(i -> engine.lastSentEvent(i) == 4));
  }

  @Test
  void resultsHaveTheScoreOfTheirOwnItem() throws IOException {
    try (GatewayCluster cluster = GatewayCluster.withTwoEntries(folder)) {
      final PlatformServerStandIn engine = cluster.addServer("e-1", "lm", true);
      final PlatformServerStandIn app = cluster.addServer("s-1", "app", false);
      cluster.awaitReady("entry-1");
      assertThat(submit(cluster, "entry-1", PlatformDocuments.scoredJob(1, "a", "b"), "j1"))
          .isEqualTo(202);
      cluster.awaitListed("entry-1", "j1", 2);
      assertThat(cluster.results("entry-1", "j1").split("\"score\":\"stamp-of-s-1\"", -1))
          .hasLength(3);
      assertThat(app.runs()).containsExactly("score-a from 1", "score-b from 1");
      assertThat(engine.runs()).containsExactly("a from 1", "b from 1");
    }
  }

  @Test
  void failingScorerCallMakesOnlyItsItemDead() throws IOException {
    try (GatewayCluster cluster = GatewayCluster.withTwoEntries(folder)) {
      final PlatformServerStandIn engine = cluster.addServer("e-1", "lm", true);
      PlatformServerStandIn app = cluster.addServer("s-1", "app", false);
      app.failPathsWithPrefix("/score/b");
      cluster.awaitReady("entry-1");
      submit(cluster, "entry-1", PlatformDocuments.scoredJob(1, "a", "b"), "j1");
      cluster.awaitListed("entry-1", "j1", 2);
      assertThat(cluster.results("entry-1", "j1")).contains("\"id\":\"b\",\"state\":\"dead\"");
      assertThat(cluster.results("entry-1", "j1")).contains("\"id\":\"a\",\"state\":\"completed\"");
      assertThat(app.runs().stream().filter(r -> r.startsWith("score-b"))).hasSize(2);
      assertThat(engine.runs()).containsExactly("a from 1", "b from 1");
    }
  }

  @Test
  void unscoredTextsAreNotRunAgainAfterRunnerIsKilled() throws IOException {
    try (GatewayCluster cluster = GatewayCluster.withTwoEntries(folder)) {
      final PlatformServerStandIn engine = cluster.addServer("e-1", "lm", true);
      final PlatformServerStandIn app = addRejectingApp(cluster);
      final String first = cluster.awaitLinkedCoordinator();
      final String second = GatewayCluster.otherEntry(first);
      submit(cluster, first, PlatformDocuments.scoredJob(1, "a", "b", "c", "d"), "j1");
      awaitCompleteTexts(engine);
      cluster.await(
          "the scorer calls fail", () -> cluster.logUnchecked(first).contains("event=7602"));
      cluster.process(second).kill();
      cluster.await("the runner is lost", () -> cluster.logUnchecked(first).contains("event=7404"));
      app.setForcedStatus(0);
      cluster.awaitListed(first, "j1", 4);
      assertThat(engine.runs()).hasSize(4);
      assertThat(cluster.results(first, "j1")).doesNotContain("dead");
    }
  }

  @Test
  void unscoredTextsAreNotRunAgainAfterCoordinatorIsKilled() throws IOException {
    try (GatewayCluster cluster = GatewayCluster.withTwoEntries(folder)) {
      final PlatformServerStandIn engine = cluster.addServer("e-1", "lm", true);
      final PlatformServerStandIn app = addRejectingApp(cluster);
      final String first = cluster.awaitLinkedCoordinator();
      final String second = GatewayCluster.otherEntry(first);
      submit(cluster, second, PlatformDocuments.scoredJob(1, "a", "b", "c", "d"), "j1");
      awaitCompleteTexts(engine);
      final long runsOfSecond =
          cluster.logUnchecked(first).lines().filter(l -> l.contains("runner=" + second)).count();
      cluster.process(first).kill();
      cluster.await(
          "the second entry is coordinator", () -> cluster.coordinatorUnchecked().equals(second));
      app.setForcedStatus(0);
      cluster.awaitListed(second, "j1", 4);
      // Only the texts of items that ran at the killed entry are lost; those items run again.
      assertThat(engine.runs()).hasSize((int) (4 + (4 - runsOfSecond)));
    }
  }

  @Test
  void jobWithAnotherScorerIsRescoredWithoutRunningAgain() throws IOException {
    try (GatewayCluster cluster = GatewayCluster.withTwoEntries(folder)) {
      final PlatformServerStandIn engine = cluster.addServer("e-1", "lm", true);
      final PlatformServerStandIn app = cluster.addServer("s-1", "app", false);
      cluster.awaitReady("entry-1");
      submit(cluster, "entry-1", PlatformDocuments.scoredJob(1, "a"), "j1");
      cluster.awaitListed("entry-1", "j1", 1);
      String later = PlatformDocuments.scoredJob(1, "other-", new String[] {"a"});
      submit(cluster, "entry-1", later, "j2");
      cluster.awaitListed("entry-1", "j2", 1);
      assertThat(engine.runs()).containsExactly("a from 1");
      assertThat(app.runs()).containsExactly("score-a from 1", "other-a from 1");
      assertThat(cluster.results("entry-1", "j2")).contains("a-1\\na-2\\na-3\\na-4");
    }
  }

  @Test
  void scorerCallsStopWhenTheirJobEnds() throws IOException {
    try (GatewayCluster cluster = GatewayCluster.withTwoEntries(folder)) {
      cluster.addServer("e-1", "lm", true);
      PlatformServerStandIn app = cluster.addServer("s-1", "app", false);
      app.setForcedStatus(503);
      cluster.awaitReady("entry-1");
      submit(cluster, "entry-1", PlatformDocuments.scoredJob(1, "a"), "j1");
      cluster.await("a scorer call fails", () -> failedCalls(cluster) > 0);
      assertThat(cluster.delete("entry-1", JOBS, "/-/lots/j1").status().code()).isEqualTo(200);
      cluster.await(
          "both entries know that the job has ended",
          () ->
              cluster.logUnchecked("entry-1").contains("event=7104")
                  && cluster.logUnchecked("entry-2").contains("event=7104"));
      app.setForcedStatus(0);
      submit(cluster, "entry-1", PlatformDocuments.scoredJob(1, "b"), "j2");
      cluster.awaitListed("entry-1", "j2", 1);
      assertThat(app.runs()).containsExactly("score-b from 1");
    }
  }

  private static long failedCalls(GatewayCluster cluster) {
    return List.of("entry-1", "entry-2").stream()
        .flatMap(e -> cluster.logUnchecked(e).lines())
        .filter(l -> l.contains("event=7602"))
        .count();
  }
}
