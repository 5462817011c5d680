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

  private static int post(GatewayCluster cluster, String entry, String job, String id) {
    return cluster.post(entry, JOBS, "/j", job, id).status().code();
  }

  /** Adds a scorer that rejects all calls, so that completed texts stay without a score. */
  private static PlatformServerStandIn addRefusingApp(GatewayCluster cluster) {
    PlatformServerStandIn app = cluster.addServer("s-1", "app", false);
    app.answerWith(503);
    cluster.awaitReady("entry-1");
    cluster.awaitReady("entry-2");
    return app;
  }

  private static void awaitWholeTexts(PlatformServerStandIn engine) {
    TestCluster.await(
        "every text is complete",
        () -> List.of("a", "b", "c", "d").stream().allMatch(i -> engine.sent(i) == 4));
  }

  @Test
  void resultsBearTheScoreOfTheirOwnCall() throws IOException {
    try (GatewayCluster cluster = GatewayCluster.withTwoEntries(folder)) {
      final PlatformServerStandIn engine = cluster.addServer("e-1", "lm", true);
      final PlatformServerStandIn app = cluster.addServer("s-1", "app", false);
      cluster.awaitReady("entry-1");
      assertThat(post(cluster, "entry-1", PlatformDocuments.scoredJob(1, "a", "b"), "j1"))
          .isEqualTo(202);
      cluster.awaitListed("entry-1", "j1", 2);
      assertThat(cluster.results("entry-1", "j1").split("\"score\":\"stamp-of-s-1\"", -1))
          .hasLength(3);
      assertThat(app.runs()).containsExactly("score-a from 1", "score-b from 1");
      assertThat(engine.runs()).containsExactly("a from 1", "b from 1");
    }
  }

  @Test
  void callThatAlwaysFailsMakesOnlyItsItemDead() throws IOException {
    try (GatewayCluster cluster = GatewayCluster.withTwoEntries(folder)) {
      final PlatformServerStandIn engine = cluster.addServer("e-1", "lm", true);
      PlatformServerStandIn app = cluster.addServer("s-1", "app", false);
      app.failAt("/score/b");
      cluster.awaitReady("entry-1");
      post(cluster, "entry-1", PlatformDocuments.scoredJob(1, "a", "b"), "j1");
      cluster.awaitListed("entry-1", "j1", 2);
      assertThat(cluster.results("entry-1", "j1")).contains("\"id\":\"b\",\"state\":\"dead\"");
      assertThat(cluster.results("entry-1", "j1")).contains("\"id\":\"a\",\"state\":\"completed\"");
      assertThat(app.runs().stream().filter(r -> r.startsWith("score-b"))).hasSize(2);
      assertThat(engine.runs()).containsExactly("a from 1", "b from 1");
    }
  }

  @Test
  void textsWhoseRunnerIsKilledBeforeTheScoreAreNotRunAgain() throws IOException {
    try (GatewayCluster cluster = GatewayCluster.withTwoEntries(folder)) {
      final PlatformServerStandIn engine = cluster.addServer("e-1", "lm", true);
      final PlatformServerStandIn app = addRefusingApp(cluster);
      final String first = cluster.awaitCoordinatorAndItsLink();
      final String second = GatewayCluster.otherThan(first);
      post(cluster, first, PlatformDocuments.scoredJob(1, "a", "b", "c", "d"), "j1");
      awaitWholeTexts(engine);
      cluster.await("the scorer calls fail", () -> cluster.logOf(first).contains("event=7602"));
      cluster.process(second).kill();
      cluster.await("the runner is lost", () -> cluster.logOf(first).contains("event=7404"));
      app.answerWith(0);
      cluster.awaitListed(first, "j1", 4);
      assertThat(engine.runs()).hasSize(4);
      assertThat(cluster.results(first, "j1")).doesNotContain("dead");
    }
  }

  @Test
  void textsWhoseCoordinatorIsKilledBeforeTheScoreAreNotRunAgain() throws IOException {
    try (GatewayCluster cluster = GatewayCluster.withTwoEntries(folder)) {
      final PlatformServerStandIn engine = cluster.addServer("e-1", "lm", true);
      final PlatformServerStandIn app = addRefusingApp(cluster);
      final String first = cluster.awaitCoordinatorAndItsLink();
      final String second = GatewayCluster.otherThan(first);
      post(cluster, second, PlatformDocuments.scoredJob(1, "a", "b", "c", "d"), "j1");
      awaitWholeTexts(engine);
      final long atRunner =
          cluster.logOf(first).lines().filter(l -> l.contains("runner=" + second)).count();
      cluster.process(first).kill();
      cluster.await("the second one coordinates", () -> cluster.coordinatorNow().equals(second));
      app.answerWith(0);
      cluster.awaitListed(second, "j1", 4);
      assertThat(engine.runs()).hasSize((int) (4 + (4 - atRunner)));
    }
  }

  @Test
  void laterJobWithAnotherScorerIsScoredAnewWithoutRunningAgain() throws IOException {
    try (GatewayCluster cluster = GatewayCluster.withTwoEntries(folder)) {
      final PlatformServerStandIn engine = cluster.addServer("e-1", "lm", true);
      final PlatformServerStandIn app = cluster.addServer("s-1", "app", false);
      cluster.awaitReady("entry-1");
      post(cluster, "entry-1", PlatformDocuments.scoredJob(1, "a"), "j1");
      cluster.awaitListed("entry-1", "j1", 1);
      String later = PlatformDocuments.scoredJob(1, "other-", new String[] {"a"});
      post(cluster, "entry-1", later, "j2");
      cluster.awaitListed("entry-1", "j2", 1);
      assertThat(engine.runs()).containsExactly("a from 1");
      assertThat(app.runs()).containsExactly("score-a from 1", "other-a from 1");
      assertThat(cluster.results("entry-1", "j2")).contains("a-1\\na-2\\na-3\\na-4");
    }
  }

  @Test
  void endedJobsCallsStop() throws IOException {
    try (GatewayCluster cluster = GatewayCluster.withTwoEntries(folder)) {
      cluster.addServer("e-1", "lm", true);
      PlatformServerStandIn app = cluster.addServer("s-1", "app", false);
      app.answerWith(503);
      cluster.awaitReady("entry-1");
      post(cluster, "entry-1", PlatformDocuments.scoredJob(1, "a"), "j1");
      cluster.await("a scorer call fails", () -> failedCalls(cluster) > 0);
      assertThat(cluster.delete("entry-1", JOBS, "/-/lots/j1").status().code()).isEqualTo(200);
      cluster.await(
          "both entries know that the job has ended",
          () ->
              cluster.logOf("entry-1").contains("event=7104")
                  && cluster.logOf("entry-2").contains("event=7104"));
      app.answerWith(0);
      post(cluster, "entry-1", PlatformDocuments.scoredJob(1, "b"), "j2");
      cluster.awaitListed("entry-1", "j2", 1);
      assertThat(app.runs()).containsExactly("score-b from 1");
    }
  }

  private static long failedCalls(GatewayCluster cluster) {
    return List.of("entry-1", "entry-2").stream()
        .flatMap(e -> cluster.logOf(e).lines())
        .filter(l -> l.contains("event=7602"))
        .count();
  }
}
