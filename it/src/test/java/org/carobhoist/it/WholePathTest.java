package org.carobhoist.it;

import static com.google.common.truth.Truth.assertThat;

import com.linecorp.armeria.client.WebClient;
import com.linecorp.armeria.common.AggregatedHttpResponse;
import com.linecorp.armeria.common.MediaType;
import java.net.URI;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletionException;
import java.util.stream.IntStream;
import org.carobhoist.standin.EngineStandIn;
import org.carobhoist.standin.MisbehavingServerStandIn;
import org.carobhoist.standin.MisbehavingServerStandIn.Misbehavior;
import org.carobhoist.standin.PlainServiceStandIn;
import org.carobhoist.trainer.StepPageMessage;
import org.carobhoist.trainer.StepRequestMessage;
import org.carobhoist.trainer.StepSession;
import org.carobhoist.trainer.TrainerClient;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Guards against a broken end-to-end path for a client request or a training step. */
final class WholePathTest {

  private static final Duration POLL_WAIT = Duration.ofSeconds(5);

  @TempDir private Path folder;

  @Test
  void servesCallersAndTrainers() throws Exception {
    PlainServiceStandIn plain = new PlainServiceStandIn();
    EngineStandIn engine = new EngineStandIn();
    plain.start();
    engine.start();
    try (TestCluster cluster = TestCluster.start(folder)) {
      cluster.publish("horno", "[profile]\nservice = horno-lm\nkind = engine\n");
      cluster.startEntry("entry-1", "centro-a");
      cluster.startSidecar("plain-1", "centro-a", "reservas", "plain", plain.uri());
      cluster.startSidecar("engine-1", "centro-a", "horno-lm", "engine", engine.uri());
      cluster.awaitReady();
      cluster.awaitLinks("entry-1", 2);

      callPlain(cluster, plain);
      callModel(cluster);
      runStep(cluster);

      assertThat(cluster.process("plain-1").terminate()).isEqualTo(0);
    } finally {
      plain.stop();
      engine.stop();
    }
  }

  @Test
  void lateSecondResponseOfEndpointReachesNoOtherRequest() throws Exception {
    MisbehavingServerStandIn endpoint =
        MisbehavingServerStandIn.start("plain-1", Misbehavior.LATE_SECOND_ANSWER);
    try (TestCluster cluster = TestCluster.start(folder)) {
      cluster.startEntry("entry-1", "centro-a");
      URI uri = URI.create("http://" + endpoint.address());
      cluster.startSidecar("plain-1", "centro-a", "reservas", "plain", uri);
      cluster.awaitReady();
      // A link is up before the sidecar's announcement has been read.
      TestCluster.await(
          "the sidecar is announced", () -> book(cluster, "first").status().code() == 200);
      for (int i = 0; i < 20; i++) {
        assertThat(book(cluster, "booking " + i).contentUtf8()).isEqualTo("booking " + i);
      }
    } finally {
      endpoint.stop();
    }
  }

  @ParameterizedTest
  @EnumSource(
      names = {
        "CUT_HEAD",
        "RESET_HEAD",
        "CUT_BEFORE_BLANK_LINE",
        "NO_LENGTH_AND_RESET",
        "CUT_EVENT",
        "CUT_CHUNK",
        "MALFORMED"
      })
  void responseThatEndpointCutsIsNotCompleted(Misbehavior misbehavior) throws Exception {
    MisbehavingServerStandIn endpoint = MisbehavingServerStandIn.start("plain-1", misbehavior);
    try (TestCluster cluster = TestCluster.start(folder)) {
      cluster.startEntry("entry-1", "centro-a");
      URI uri = URI.create("http://" + endpoint.address());
      cluster.startSidecar("plain-1", "centro-a", "reservas", "plain", uri);
      cluster.awaitReady();
      TestCluster.await(
          "a booking reaches the endpoint",
          () -> {
            assertThat(isCompleted(cluster)).isFalse();
            return !endpoint.runs().isEmpty();
          });
    } finally {
      endpoint.stop();
    }
  }

  private static boolean isCompleted(TestCluster cluster) {
    try {
      return book(cluster, "a long booking").status().code() == 200;
    } catch (CompletionException e) {
      return false;
    }
  }

  private static AggregatedHttpResponse book(TestCluster cluster, String body) {
    return WebClient.of(cluster.http("entry-1"))
        .post("/v1/services/reservas/bookings", body)
        .aggregate()
        .join();
  }

  private static void callPlain(TestCluster cluster, PlainServiceStandIn plain) {
    AggregatedHttpResponse response =
        WebClient.of(cluster.http("entry-1"))
            .post("/v1/services/reservas/bookings", "bench 7")
            .aggregate()
            .join();
    assertThat(response.contentUtf8()).isEqualTo("done bench 7");
    assertThat(response.headers().get("carobhoist-verdict")).isEqualTo("COMPLETED");
    assertThat(plain.runs().get("bench 7").get()).isEqualTo(1);
  }

  private static void callModel(TestCluster cluster) {
    AggregatedHttpResponse response =
        WebClient.of(cluster.http("entry-1"))
            .prepare()
            .post("/v1/completions")
            .content(
                MediaType.JSON,
                "{\"model\":\"horno-lm\",\"prompt\":\"kiln?\",\"max_tokens\":20,\"stream\":true}")
            .execute()
            .aggregate()
            .join();
    assertThat(response.contentUtf8()).endsWith("data: [DONE]\n\n");
  }

  private static void runStep(TestCluster cluster) {
    List<StepRequestMessage.Group> groups =
        IntStream.range(0, 8).mapToObj(g -> new StepRequestMessage.Group(g, "p" + g)).toList();
    StepSession session =
        StepSession.start(
            new StepRequestMessage("horno", "trainer-1", "1", 1, 4, 40, "", groups, 0));
    TrainerClient client = TrainerClient.create(List.of(cluster.http("entry-1")));
    for (int i = 0; i < 100 && !session.isComplete(); i++) {
      client.poll(session, POLL_WAIT).join();
    }
    assertThat(session.isComplete()).isTrue();
    for (StepPageMessage.Group group : session.groups()) {
      assertThat(group.samples()).hasSize(4);
      group.samples().forEach(WholePathTest::checkAttribution);
    }
  }

  private static void checkAttribution(StepPageMessage.Sample sample) {
    assertThat(sample.tokens()).hasSize(40);
    for (StepPageMessage.Span span : sample.spans()) {
      for (int token : sample.tokens().subList(span.from(), span.to())) {
        assertThat(token / EngineStandIn.TOKEN_BASE).isEqualTo((int) span.version());
      }
    }
  }
}
