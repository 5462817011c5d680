package org.carobhoist.it;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import com.linecorp.armeria.common.AggregatedHttpResponse;
import java.io.IOException;
import java.nio.file.Path;
import org.carobhoist.standin.MalformedResponse;
import org.carobhoist.standin.MisbehavingServerStandIn;
import org.carobhoist.standin.MisbehavingServerStandIn.Misbehavior;
import org.carobhoist.standin.PlatformDocuments;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.api.parallel.Execution;
import org.junit.jupiter.api.parallel.ExecutionMode;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against clients that get a malformed response of a server as an answer. */
@Execution(ExecutionMode.CONCURRENT)
final class MalformedResponsesTest {

  private static final String JOBS = PlatformDocuments.JOBS_HOST;
  private static final String BOOK = PlatformDocuments.BOOKINGS_HOST;

  @TempDir private Path folder;

  @ParameterizedTest
  @ValueSource(strings = {"idempotent", "non_idempotent", "streaming"})
  void malformedResponseIsNotPassedOn(String kind) throws IOException {
    try (GatewayCluster cluster = GatewayCluster.start(folder)) {
      cluster.publish(2, kind);
      cluster.startEntry("entry-1");
      MisbehavingServerStandIn server =
          cluster.addMisbehavingServer("s-1", "app", Misbehavior.MALFORMED);
      cluster.awaitReady("entry-1");
      for (MalformedResponse malformed : MalformedResponse.values()) {
        server.setMalformedResponse(malformed);
        String id = malformed.name();
        AggregatedHttpResponse response = cluster.post("entry-1", BOOK, "/seat", "x", id);
        assertWithMessage(id).that(server.runs()).contains(id);
        // The request has run, so 503 would be untrue.
        assertWithMessage(id).that(response.status().code()).isEqualTo(502);
        assertWithMessage(id).that(response.contentUtf8()).doesNotContain(MalformedResponse.TEXT);
        String line = "event=7010 text=\"malformed response\" request=" + id + " ";
        cluster.await(line, () -> cluster.logUnchecked("entry-1").contains(line));
      }
      assertThat(cluster.process("entry-1").isAlive()).isTrue();
    }
  }

  @ParameterizedTest
  @EnumSource(names = {"STATUS_000", "BLANK_IN_NAME", "TAB_IN_NAME", "BLANK_IN_NAME_OF_LENGTH"})
  void malformedResponseIsNotTheTextOfAnItem(MalformedResponse malformed) throws IOException {
    try (GatewayCluster cluster = GatewayCluster.start(folder)) {
      cluster.startEntry("entry-1");
      MisbehavingServerStandIn engine =
          cluster.addMisbehavingServer("e-1", "lm", Misbehavior.MALFORMED, true);
      engine.setMalformedResponse(malformed);
      cluster.awaitReady("entry-1");
      cluster.post("entry-1", JOBS, "/j", PlatformDocuments.job(1, "a", "b"), "j1");
      cluster.await("an item was sent to the engine", () -> !engine.runs().isEmpty());
      cluster.addServer("e-2", "lm", true);
      cluster.awaitListed("entry-1", "j1", 2);
      String results = cluster.results("entry-1", "j1");
      assertThat(results).doesNotContain(MalformedResponse.TEXT);
      for (String item : new String[] {"a", "b"}) {
        assertThat(results).contains(item + "-3\\n" + item + "-4\"");
      }
    }
  }
}
