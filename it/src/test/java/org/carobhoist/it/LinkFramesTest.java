package org.carobhoist.it;

import static com.google.common.truth.Truth.assertThat;
import static org.carobhoist.it.FakeSidecar.data;
import static org.carobhoist.it.FakeSidecar.end;
import static org.carobhoist.it.FakeSidecar.head;

import com.linecorp.armeria.client.WebClient;
import com.linecorp.armeria.common.AggregatedHttpResponse;
import java.nio.file.Path;
import java.util.Optional;
import java.util.concurrent.CompletionException;
import org.carobhoist.core.common.InstanceId;
import org.carobhoist.core.common.Zone;
import org.carobhoist.core.membership.ListedInstance;
import org.carobhoist.server.link.Link;
import org.carobhoist.server.link.proto.CallStart;
import org.carobhoist.standin.LoopbackPorts;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Guards against corrupted responses when a sidecar sends frames that are late, duplicated, out of
 * order, missing or meant for another call.
 */
final class LinkFramesTest {

  private static final String SERVICE = "reservas";
  private static final long UNKNOWN_CALL = 1_000_000;

  @TempDir private Path folder;
  private TestCluster cluster;
  private FakeSidecar sidecar;
  private FakeSidecar otherSidecar;

  @BeforeEach
  void start() throws Exception {
    cluster = TestCluster.start(folder);
    sidecar = startListed("fake-1", SERVICE);
    otherSidecar = startListed("fake-2", "another-service");
    cluster.startEntry("entry-1", "centro-a");
    cluster.awaitReady();
    cluster.awaitLinks("entry-1", 2);
    // A link is up before the sidecar's announcement has been read.
    TestCluster.await("fake-1 is announced", () -> get("/announced").isPresent());
  }

  @AfterEach
  void stop() {
    cluster.close();
    sidecar.stop();
    otherSidecar.stop();
  }

  @Test
  void forwardsCompleteResponsesOnly() {
    assertThat(get("/whole")).isEqualTo(Optional.of("onetwo"));
    assertThat(get("/duplicate-head")).isEqualTo(Optional.of("onetwo"));
    assertThat(get("/late-frames")).isEqualTo(Optional.of("onetwo"));
    assertThat(get("/unknown-call")).isEqualTo(Optional.of("onetwo"));
    assertThat(get("/other-sidecar")).isEqualTo(Optional.of("onetwo"));
    assertThat(get("/duplicate-data")).isEqualTo(Optional.empty());
    assertThat(get("/out-of-order")).isEqualTo(Optional.empty());
    assertThat(get("/missing-data")).isEqualTo(Optional.empty());
    assertThat(get("/no-head")).isEqualTo(Optional.empty());
    assertThat(get("/whole")).isEqualTo(Optional.of("onetwo"));
  }

  private void handleCall(Link link, CallStart start) {
    long call = start.getCall();
    switch (start.getPath()) {
      case "/announced", "/whole" -> sendComplete(link, call);
      case "/duplicate-head" -> {
        link.send(head(call));
        sendComplete(link, call);
      }
      case "/late-frames" -> {
        sendComplete(link, call);
        link.send(data(call, 2, "late"));
        link.send(end(call, 3));
      }
      case "/unknown-call" -> {
        sendComplete(link, UNKNOWN_CALL);
        sendComplete(link, call);
      }
      case "/other-sidecar" -> {
        otherSidecar.broadcast(head(call));
        otherSidecar.broadcast(data(call, 0, "foreign"));
        otherSidecar.broadcast(end(call, 1));
        sendComplete(link, call);
      }
      case "/duplicate-data" -> {
        link.send(head(call));
        link.send(data(call, 0, "one"));
        link.send(data(call, 0, "one"));
        link.send(end(call, 2));
      }
      case "/out-of-order" -> {
        link.send(head(call));
        link.send(data(call, 1, "two"));
        link.send(data(call, 0, "one"));
        link.send(end(call, 2));
      }
      case "/missing-data" -> {
        link.send(head(call));
        link.send(data(call, 0, "one"));
        link.send(end(call, 2));
      }
      default -> link.send(end(call, 0));
    }
  }

  private static void sendComplete(Link link, long call) {
    link.send(head(call));
    link.send(data(call, 0, "one"));
    link.send(data(call, 1, "two"));
    link.send(end(call, 2));
  }

  /** Returns the body of a complete response with status 200, or empty. */
  private Optional<String> get(String path) {
    try {
      AggregatedHttpResponse response =
          WebClient.of(cluster.http("entry-1"))
              .get("/v1/services/" + SERVICE + path)
              .aggregate()
              .join();
      boolean complete = response.status().code() == 200;
      return complete ? Optional.of(response.contentUtf8()) : Optional.empty();
    } catch (CompletionException e) {
      return Optional.empty();
    }
  }

  private FakeSidecar startListed(String name, String service) {
    int port = LoopbackPorts.next();
    FakeSidecar fake = new FakeSidecar(name, service, port, this::handleCall);
    fake.start();
    cluster
        .platform()
        .putInstance(
            new ListedInstance(
                new InstanceId(name),
                "sidecar",
                new Zone("centro-a"),
                "127.0.0.1",
                port,
                false,
                service));
    return fake;
  }
}
