package org.carobhoist.it;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import com.linecorp.armeria.client.WebClient;
import com.linecorp.armeria.common.AggregatedHttpResponse;
import com.linecorp.armeria.common.HttpStatus;
import com.linecorp.armeria.common.MediaType;
import java.net.URI;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.stream.IntStream;
import org.carobhoist.standin.EngineStandIn;
import org.carobhoist.standin.ScorerStandIn;
import org.carobhoist.trainer.StepPageMessage;
import org.carobhoist.trainer.StepRequestMessage;
import org.carobhoist.trainer.StepSession;
import org.carobhoist.trainer.TrainerClient;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Guards against samples that are lost, duplicated or attributed to the wrong weight version. Two
 * trainers run steps while processes and engines crash and the weights change.
 */
final class RolloutFaultsTest {

  private static final int ENGINES = 4;
  private static final int STEPS = 12;
  private static final int GROUPS = 6;
  private static final int SAMPLES_PER_GROUP = 4;
  private static final int TOKENS_PER_SAMPLE = 96;
  private static final int MAX_POLLS = 400;
  private static final long MAX_STALENESS = 2;
  private static final Duration SLOW_CHUNK_INTERVAL = Duration.ofMillis(500);
  private static final Duration FAST_CHUNK_INTERVAL = Duration.ofMillis(10);
  private static final Duration POLL_WAIT = Duration.ofSeconds(1);

  @TempDir private Path folder;

  private final List<EngineStandIn> engines = new ArrayList<>();
  private final ScorerStandIn scorer = new ScorerStandIn();
  private TestCluster cluster;

  /** A trainer that can be replaced in the middle of a step; only the cursor is handed over. */
  private final class Trainer {

    private final String name;
    private final List<URI> entries;
    private final Map<String, Set<Integer>> receivedGroups = new HashMap<>();
    private long version = 1;

    private Trainer(String name, List<URI> entries) {
      this.name = name;
      this.entries = entries;
    }

    /** Runs one step to completion, optionally with a replacement of the trainer in between. */
    private void runStep(int number, boolean replace) {
      TrainerClient client = TrainerClient.create(entries);
      StepSession session = session(number, "");
      boolean replaced = !replace;
      for (int i = 0; i < MAX_POLLS && !session.isComplete(); i++) {
        client.poll(session, POLL_WAIT).join();
        if (!replaced && session.cursor().count() > 0) {
          check(number, session);
          session = session(number, session.cursor().format());
          client = TrainerClient.create(entries);
          replaced = true;
        }
      }
      assertWithMessage("step %s of %s", number, name).that(session.isComplete()).isTrue();
      check(number, session);
      assertThat(receivedGroups.get("s" + number)).hasSize(GROUPS);
      client.finish(session).join();
    }

    private StepSession session(int number, String cursor) {
      List<StepRequestMessage.Group> groups =
          IntStream.range(0, GROUPS)
              .mapToObj(g -> new StepRequestMessage.Group(g, "prompt " + g))
              .toList();
      return StepSession.start(
          new StepRequestMessage(
              "horno",
              name,
              "s" + number,
              version,
              SAMPLES_PER_GROUP,
              TOKENS_PER_SAMPLE,
              cursor,
              groups,
              0));
    }

    private void check(int number, StepSession session) {
      Set<Integer> seenGroups = receivedGroups.computeIfAbsent("s" + number, k -> new HashSet<>());
      for (StepPageMessage.Group group : session.groups()) {
        assertWithMessage("group delivered once").that(seenGroups.add(group.group())).isTrue();
        assertThat(group.samples()).hasSize(SAMPLES_PER_GROUP);
        for (int i = 0; i < SAMPLES_PER_GROUP; i++) {
          assertThat(group.samples().get(i).index()).isEqualTo(i);
          check(group.samples().get(i));
        }
      }
    }

    private void check(StepPageMessage.Sample sample) {
      assertThat(sample.tokens()).hasSize(TOKENS_PER_SAMPLE);
      assertThat(sample.text()).hasLength(TOKENS_PER_SAMPLE);
      assertThat(sample.score()).isEqualTo((double) TOKENS_PER_SAMPLE);
      for (StepPageMessage.Span span : sample.spans()) {
        assertThat(version - span.version()).isAtMost(MAX_STALENESS);
        for (int at = span.from(); at < span.to(); at++) {
          int token = sample.tokens().get(at);
          assertThat(token / EngineStandIn.TOKEN_BASE).isEqualTo((int) span.version());
          assertThat(token % EngineStandIn.TOKEN_BASE).isEqualTo(at);
        }
      }
    }
  }

  @AfterEach
  void stopAll() {
    cluster.close();
    engines.forEach(EngineStandIn::stop);
    scorer.stop();
  }

  @Test
  void everyStepCompletesDespiteCrashes() throws Exception {
    startAll();
    List<URI> entries = List.of(cluster.http("entry-1"), cluster.http("entry-2"));
    Trainer first = new Trainer("trainer-1", entries);
    Trainer second = new Trainer("trainer-2", List.of(entries.get(1), entries.get(0)));
    scorer.failResponses(20);
    for (int s = 0; s < STEPS; s++) {
      long version = 1 + s / 2;
      first.version = version;
      second.version = version;
      publish(version);
      setChunkInterval(SLOW_CHUNK_INTERVAL);
      int number = s;
      CompletableFuture<Void> one =
          CompletableFuture.runAsync(() -> first.runStep(number, number % 4 == 3));
      CompletableFuture<Void> two =
          CompletableFuture.runAsync(() -> second.runStep(number, number % 4 == 1));
      final Runnable repair = injectFault(s);
      setChunkInterval(FAST_CHUNK_INTERVAL);
      one.join();
      two.join();
      repair.run();
      cluster.awaitReady();
    }
    assertThat(first.receivedGroups).hasSize(STEPS);
    assertThat(second.receivedGroups).hasSize(STEPS);
  }

  private void startAll() throws Exception {
    scorer.start();
    cluster = TestCluster.start(folder);
    cluster.publish(
        "horno",
        "[profile]\nservice = horno-lm\nkind = engine\n[rollout]\nmax-staleness = %d\nscorer = %s\n"
            .formatted(MAX_STALENESS, scorer.uri()));
    cluster.startEntry("entry-1", "centro-a");
    cluster.startEntry("entry-2", "centro-b");
    for (int i = 0; i < ENGINES; i++) {
      EngineStandIn engine = new EngineStandIn();
      engine.start();
      engines.add(engine);
      cluster.startSidecar("engine-" + i, "centro-a", "horno-lm", "engine", engine.uri());
    }
    cluster.awaitReady();
    cluster.awaitLinks("entry-1", ENGINES);
    cluster.awaitLinks("entry-2", ENGINES);
  }

  /** Orders the engines to load a weight version, which they do in turn while steps run. */
  private void publish(long version) {
    AggregatedHttpResponse response =
        WebClient.of(cluster.http("entry-2"))
            .prepare()
            .post("/v1/models/horno-lm/weights")
            .content(MediaType.JSON, "{\"version\":%d}".formatted(version))
            .execute()
            .aggregate()
            .join();
    assertThat(response.status()).isEqualTo(HttpStatus.OK);
  }

  private void setChunkInterval(Duration interval) {
    engines.forEach(e -> e.setChunkInterval(interval));
  }

  /** Injects a fault in the middle of a step; the returned action removes it. */
  private Runnable injectFault(int step) throws Exception {
    EngineStandIn engine = engines.get(step % ENGINES);
    RoleProcess entry = cluster.process("entry-" + (1 + step / 6 % 2));
    RoleProcess sidecar = cluster.process("engine-" + step % ENGINES);
    awaitSamplesInFlight();
    switch (step % 6) {
      case 1 -> {
        entry.kill();
        entry.restart();
      }
      case 2 -> {
        sidecar.kill();
        sidecar.restart();
      }
      case 3 -> {
        engine.stop();
        return engine::start;
      }
      case 4 -> engine.setOmitVersion(true);
      case 5 -> engine.setVersion(engine.version() + 1);
      default -> {}
    }
    return () -> engine.setOmitVersion(false);
  }

  private void awaitSamplesInFlight() {
    TestCluster.await(
        "samples in flight", () -> !cluster.state("entry-1").contains("\"samplesInFlight\":0"));
  }
}
