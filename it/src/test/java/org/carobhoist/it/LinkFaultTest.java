package org.carobhoist.it;

import static com.google.common.truth.Truth.assertThat;

import com.linecorp.armeria.client.WebClient;
import com.linecorp.armeria.common.AggregatedHttpResponse;
import com.linecorp.armeria.common.HttpData;
import com.linecorp.armeria.common.HttpMethod;
import com.linecorp.armeria.common.HttpRequest;
import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.MediaType;
import com.linecorp.armeria.common.RequestHeaders;
import java.nio.file.Path;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.carobhoist.standin.EngineStandIn;
import org.carobhoist.standin.FaultProxy;
import org.carobhoist.standin.PlainServiceStandIn;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Guards against requests that hang on a frozen link, and against engines that keep generating
 * after their client has disconnected.
 */
final class LinkFaultTest {

  @TempDir private Path folder;

  @Test
  void frozenLinkIsDetectedAndVerdictIsMayHaveRun() throws Exception {
    PlainServiceStandIn plain = new PlainServiceStandIn();
    plain.start();
    try (TestCluster cluster = TestCluster.start(folder)) {
      cluster.startSidecar("plain-1", "centro-a", "reservas", "plain", plain.uri());
      final FaultProxy proxy = cluster.listBehindProxy("plain-1");
      cluster.startEntry("entry-1", "centro-a");
      cluster.awaitReady();
      cluster.awaitLinks("entry-1", 1);
      // A link is up before the sidecar's announcement has been read.
      TestCluster.await("plain-1 is announced", () -> book(cluster, "").status().isSuccess());
      assertThat(book(cluster, "bench 1").contentUtf8()).isEqualTo("done bench 1");

      proxy.setFrozen(true);
      // The entry responds as soon as it detects the lost link, long before the 30 s deadline.
      AggregatedHttpResponse lostResponse = book(cluster, "bench 2");
      assertThat(lostResponse.headers().get("carobhoist-verdict")).isEqualTo("MAY_HAVE_RUN");
      assertThat(lostResponse.contentUtf8()).contains("link");

      proxy.setFrozen(false);
      TestCluster.await(
          "link works again", () -> book(cluster, "bench 3").contentUtf8().equals("done bench 3"));
      proxy.stop();
    } finally {
      plain.stop();
    }
  }

  @Test
  void abortedRequestFreesTheEngine() throws Exception {
    EngineStandIn engine = new EngineStandIn();
    engine.start();
    engine.setChunkInterval(Duration.ofMillis(50));
    try (TestCluster cluster = TestCluster.start(folder)) {
      cluster.startSidecar("engine-1", "centro-a", "horno-lm", "engine", engine.uri());
      cluster.startEntry("entry-1", "centro-a");
      cluster.awaitReady();
      cluster.awaitLinks("entry-1", 1);
      HttpResponse response =
          WebClient.of(cluster.http("entry-1"))
              .execute(
                  HttpRequest.of(
                      RequestHeaders.of(
                          HttpMethod.POST,
                          "/v1/completions",
                          "content-type",
                          MediaType.JSON.toString()),
                      HttpData.ofUtf8(
                          "{\"model\":\"horno-lm\",\"prompt\":\"kiln?\",\"max_tokens\":100000}")));
      final CompletableFuture<Void> completion = response.subscribe();
      TestCluster.await("engine runs", () -> running(engine) == 1);

      response.abort();
      TestCluster.await("engine is free", () -> running(engine) == 0);
      assertThat(completion.isCompletedExceptionally()).isTrue();
    } finally {
      engine.stop();
    }
  }

  private static AggregatedHttpResponse book(TestCluster cluster, String body) {
    return WebClient.builder(cluster.http("entry-1"))
        .responseTimeout(Duration.ofSeconds(60))
        .build()
        .post("/v1/services/reservas/bookings", body)
        .aggregate()
        .join();
  }

  private static int running(EngineStandIn engine) {
    String load = WebClient.of(engine.uri()).get("/load").aggregate().join().contentUtf8();
    return load.contains("\"running\":1") ? 1 : 0;
  }
}
