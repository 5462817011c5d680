package org.carobhoist.it;

import static com.google.common.truth.Truth.assertThat;

import com.linecorp.armeria.common.AggregatedHttpResponse;
import com.linecorp.armeria.common.HttpMethod;
import com.linecorp.armeria.common.RequestHeaders;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.carobhoist.standin.PlatformDocuments;
import org.carobhoist.standin.UnreachableServerStandIn;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.api.parallel.Execution;
import org.junit.jupiter.api.parallel.ExecutionMode;

/** Guards against requests that are never answered because their server can't be connected to. */
@Execution(ExecutionMode.CONCURRENT)
final class UnreachableServersTest {

  private static final String BOOK = PlatformDocuments.BOOKINGS_HOST;

  /** Less than the time after which a gateway gives up a connection attempt. */
  private static final long DEADLINE_MILLIS = 300;

  private static final long RESPONSE_TIMEOUT_SECONDS = 20;

  @TempDir private Path folder;

  @Test
  void requestsAreAnsweredIfTheirDeadlinePassesWhileTheirConnectionIsBeingMade() throws Exception {
    UnreachableServerStandIn server = UnreachableServerStandIn.start();
    try (GatewayCluster cluster = cluster(server)) {
      List<CompletableFuture<AggregatedHttpResponse>> responses = new ArrayList<>();
      for (int i = 0; i < 4; i++) {
        RequestHeaders headers =
            RequestHeaders.builder(HttpMethod.POST, "/seat")
                .authority(BOOK)
                .add("carobhoist-request-id", "r" + i)
                .add("carobhoist-deadline-ms", Long.toString(DEADLINE_MILLIS))
                .build();
        responses.add(cluster.sendAsync("entry-1", headers, "x"));
      }
      for (CompletableFuture<AggregatedHttpResponse> response : responses) {
        int status = response.get(RESPONSE_TIMEOUT_SECONDS, TimeUnit.SECONDS).status().code();
        assertThat(status).isEqualTo(504);
      }
      // An exception on the decision loop would leave the attempt in the count of the server.
      assertThat(cluster.log("entry-1")).doesNotContain("event=1004");
    } finally {
      server.stop();
    }
  }

  private GatewayCluster cluster(UnreachableServerStandIn server) throws IOException {
    GatewayCluster cluster = GatewayCluster.start(folder);
    cluster.publish(2, "non_idempotent");
    String entry = PlatformDocuments.serverEntry("app", server.address(), "a", "ready", 1, "");
    cluster.store().put("keyed.servers", "s-1", entry);
    cluster.startEntry("entry-1");
    cluster.awaitReady("entry-1");
    cluster.await("s-1 is known", () -> cluster.state("entry-1").contains("\"servers\":1"));
    return cluster;
  }
}
