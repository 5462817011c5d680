package org.carobhoist.it;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.linecorp.armeria.client.ClientFactory;
import com.linecorp.armeria.common.AggregatedHttpResponse;
import com.linecorp.armeria.common.ContentTooLargeException;
import com.linecorp.armeria.common.HttpMethod;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.stream.IntStream;
import org.carobhoist.platform.DirectTransport;
import org.carobhoist.platform.StoreCall;
import org.carobhoist.platform.StoreReply;
import org.carobhoist.standin.MisbehavingServerStandIn;
import org.carobhoist.standin.MisbehavingServerStandIn.Misbehavior;
import org.carobhoist.standin.PlatformDocuments;
import org.carobhoist.standin.PlatformServerStandIn;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.api.parallel.Execution;
import org.junit.jupiter.api.parallel.ExecutionMode;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Guards against requests and items that fail, hang or get the response to another request because
 * a server is leaving or sends malformed or endless responses.
 */
@Execution(ExecutionMode.CONCURRENT)
final class GatewayOddServersTest {

  private static final String JOBS = PlatformDocuments.JOBS_HOST;
  private static final String BOOK = PlatformDocuments.BOOKINGS_HOST;

  /** Upper bound of what is buffered between a server and a client that doesn't read. */
  private static final long MAX_BUFFERED_BYTES = 32L << 20;

  private static final int MANY_IDS = 8_800;
  private static final int CONCURRENT_REQUESTS = 16;

  /** Enough that some of them meet the connection that carried them first. */
  private static final int IDS_SENT_AGAIN = 240;

  private static final int REQUESTS_WITH_CUTS = 240;

  private static final Duration TIMEOUT = Duration.ofSeconds(60);

  @TempDir private Path folder;

  private GatewayCluster cluster() throws IOException {
    GatewayCluster cluster = GatewayCluster.start(folder);
    cluster.startEntry("entry-1");
    return cluster;
  }

  @Test
  void leavingServerGetsNoRequestsEvenIfRegisteredAsReady() throws IOException {
    try (GatewayCluster cluster = cluster()) {
      PlatformServerStandIn leavingServer = cluster.addServer("s-1", "app", false);
      cluster.awaitReady("entry-1");
      leavingServer.setLeaving(true);
      assertThat(cluster.post("entry-1", BOOK, "/seat", "x", "r1").status().code()).isEqualTo(200);
      final PlatformServerStandIn secondServer = cluster.addServer("s-2", "app", false);
      cluster.await(
          "the second server is used",
          () -> cluster.post("entry-1", BOOK, "/seat", "x", "r2").status().code() == 200);
      cluster.store().register("app", leavingServer);
      for (int i = 0; i < 20; i++) {
        assertThat(cluster.post("entry-1", BOOK, "/seat", "x", "q" + i).status().code())
            .isEqualTo(200);
      }
      assertThat(leavingServer.runs()).containsExactly("r1 from 1");
      assertThat(secondServer.runs()).hasSize(21);
    }
  }

  @Test
  void leavingEngineGetsNoItemsEvenIfRegisteredAsReady() throws IOException {
    try (GatewayCluster cluster = cluster()) {
      PlatformServerStandIn leavingServer = cluster.addServer("e-1", "lm", true);
      cluster.awaitReady("entry-1");
      leavingServer.setLeaving(true);
      cluster.post("entry-1", JOBS, "/j", PlatformDocuments.job(1, "a"), "j1");
      cluster.awaitListed("entry-1", "j1", 1);
      final PlatformServerStandIn secondServer = cluster.addServer("e-2", "lm", true);
      cluster.store().register("lm", leavingServer);
      cluster.post("entry-1", JOBS, "/j", PlatformDocuments.job(1, "b", "c", "d"), "j2");
      cluster.awaitListed("entry-1", "j2", 3);
      assertThat(leavingServer.runs()).containsExactly("a from 1");
      assertThat(secondServer.runs()).hasSize(3);
    }
  }

  @Test
  void lateSecondResponseReachesNoOtherRequest() throws IOException {
    try (GatewayCluster cluster = cluster()) {
      final MisbehavingServerStandIn server =
          cluster.addMisbehavingServer("s-1", "app", Misbehavior.LATE_SECOND_ANSWER);
      cluster.awaitReady("entry-1");
      int completeResponses = 0;
      for (int i = 0; i < 40; i++) {
        AggregatedHttpResponse response =
            cluster.post("entry-1", BOOK, "/seat", "body " + i, "r" + i);
        if (response.status().code() == 200) {
          assertThat(response.contentUtf8()).isEqualTo("body " + i);
          completeResponses++;
        }
      }
      assertThat(completeResponses).isGreaterThan(0);
      assertThat(server.runs()).contains("r39");
    }
  }

  @Test
  void lateSecondResponseReachesNoRequestThatIsSentAgain() throws IOException {
    try (GatewayCluster cluster = cluster()) {
      cluster.addMisbehavingServer("s-1", "app", Misbehavior.LATE_SECOND_ANSWER);
      cluster.awaitReady("entry-1");
      int completeResponses = 0;
      for (int i = 0; i < 40; i++) {
        for (int sending = 0; sending < 3; sending++) {
          String body = "body " + i + " sent " + sending;
          AggregatedHttpResponse response = cluster.post("entry-1", BOOK, "/seat", body, "r" + i);
          if (response.status().code() == 200) {
            assertThat(response.contentUtf8()).isEqualTo(body);
            completeResponses++;
          }
        }
      }
      assertThat(completeResponses).isAtLeast(40);
    }
  }

  @Test
  void lateSecondResponseReachesNoRequestThatIsSentAgainMuchLater() throws IOException {
    try (GatewayCluster cluster = cluster()) {
      cluster.addMisbehavingServer("s-1", "app", Misbehavior.SECOND_ANSWER_BEFORE_SAME_ID);
      cluster.awaitReady("entry-1");
      for (int begin = 0; begin < MANY_IDS; begin += CONCURRENT_REQUESTS) {
        List<CompletableFuture<AggregatedHttpResponse>> responses =
            IntStream.range(begin, begin + CONCURRENT_REQUESTS)
                .mapToObj(
                    i ->
                        cluster.sendAsync(
                            "entry-1", HttpMethod.POST, BOOK, "/seat", "first " + i, "r" + i))
                .toList();
        for (CompletableFuture<AggregatedHttpResponse> response : responses) {
          assertThat(response.join().contentUtf8()).startsWith("first ");
        }
      }
      int completeResponses = 0;
      for (int i = 0; i < IDS_SENT_AGAIN; i++) {
        String body = "second " + i;
        AggregatedHttpResponse response = cluster.post("entry-1", BOOK, "/seat", body, "r" + i);
        if (response.status().code() == 200) {
          assertThat(response.contentUtf8()).isEqualTo(body);
          completeResponses++;
        }
      }
      assertThat(completeResponses).isAtLeast(IDS_SENT_AGAIN / 2);
      assertThat(cluster.log("entry-1")).contains("event=7004");
    }
  }

  @Test
  void responseThatBreaksOffDoesNotTurnTheNextFailureIntoSuccess() throws IOException {
    try (GatewayCluster cluster = cluster()) {
      cluster.addMisbehavingServer("s-1", "app", Misbehavior.CUT_LATE_SECOND_ANSWER);
      cluster.awaitReady("entry-1");
      int completeResponses = 0;
      for (int i = 0; i < REQUESTS_WITH_CUTS; i++) {
        String body = (i % 2 == 0 ? "serve " : "fail ") + i;
        AggregatedHttpResponse response = cluster.post("entry-1", BOOK, "/seat", body, "r" + i);
        if (response.status().code() == 200) {
          assertThat(response.contentUtf8()).isEqualTo("serve " + i);
          completeResponses++;
        }
      }
      assertThat(completeResponses).isAtLeast(REQUESTS_WITH_CUTS / 2 - 1);
    }
  }

  @Test
  void secondResponseIsNotPassedOnAsEndOfBody() throws IOException {
    try (GatewayCluster cluster = cluster()) {
      final MisbehavingServerStandIn server =
          cluster.addMisbehavingServer("s-1", "app", Misbehavior.SECOND_ANSWER_IN_BODY);
      cluster.addServer("s-2", "app", false);
      cluster.awaitReady("entry-1");
      String filler = "x".repeat(400);
      for (int i = 0; i < 20 || server.runs().isEmpty(); i++) {
        AggregatedHttpResponse response =
            cluster.post("entry-1", BOOK, "/seat", filler + i, "r" + i);
        if (response.status().code() == 200) {
          assertThat(response.contentUtf8()).isEqualTo(filler + i);
        }
      }
    }
  }

  @Test
  void lateSecondFailureOfRewardCallIsNotCountedAsAnotherAttempt() throws IOException {
    try (GatewayCluster cluster = cluster()) {
      cluster.addMisbehavingServer("s-1", "app", Misbehavior.LATE_SECOND_FAILURE);
      cluster.addServer("e-1", "lm", true);
      cluster.awaitReady("entry-1");
      // One call at a time, so that the second response to a call meets its next attempt.
      for (String item : List.of("a", "b", "c")) {
        String job = "j" + item;
        cluster.post("entry-1", JOBS, "/j", PlatformDocuments.scoredJob(1, item), job);
        cluster.awaitListed("entry-1", job, 1);
        assertThat(cluster.results("entry-1", job)).doesNotContain("\"dead\"");
      }
    }
  }

  @ParameterizedTest
  @EnumSource(
      names = {
        "ENDLESS_HEAD",
        "ENDLESS_BLANKS",
        "ENDLESS_BODY",
        "ENDLESS_CHUNK_EXTENSION",
        "ENDLESS_TRAILER",
        "TRICKLE"
      })
  void endlessResponseIsAbortedAndRequestIsRetriedElsewhere(Misbehavior misbehavior)
      throws IOException {
    try (GatewayCluster cluster = cluster()) {
      final MisbehavingServerStandIn server =
          cluster.addMisbehavingServer("s-1", "app", misbehavior);
      cluster.awaitReady("entry-1");
      AggregatedHttpResponse onlyResponse = cluster.post("entry-1", BOOK, "/seat", "x", "r0");
      assertThat(onlyResponse.status().code()).isAtLeast(500);
      cluster.addServer("s-2", "app", false);
      cluster.await(
          "the second server is known",
          () -> cluster.post("entry-1", BOOK, "/seat", "x", "r1").status().code() == 200);
      for (int i = 0; i < 12; i++) {
        AggregatedHttpResponse response = cluster.post("entry-1", BOOK, "/seat", "x" + i, "q" + i);
        assertThat(response.contentUtf8()).isEqualTo("x" + i);
      }
      assertThat(server.runs()).isNotEmpty();
      cluster.await("the server's connections are closed", () -> server.isIdle());
      assertThat(cluster.process("entry-1").isAlive()).isTrue();
    }
  }

  @ParameterizedTest
  @EnumSource(names = {"CUT_HEAD", "RESET_HEAD", "CUT_BEFORE_BLANK_LINE"})
  void responseCutInItsHeadIsNotPassedOnAsComplete(Misbehavior misbehavior) throws IOException {
    try (GatewayCluster cluster = cluster()) {
      cluster.publish(2, "non_idempotent");
      cluster.addMisbehavingServer("s-1", "app", misbehavior);
      cluster.awaitReady("entry-1");
      for (int i = 0; i < 5; i++) {
        AggregatedHttpResponse response = cluster.post("entry-1", BOOK, "/seat", "x", "r" + i);
        assertThat(response.status().code()).isAnyOf(502, 503);
      }
      assertThat(cluster.process("entry-1").isAlive()).isTrue();
    }
  }

  @ParameterizedTest
  @EnumSource(names = {"CUT_HEAD", "RESET_HEAD", "CUT_BEFORE_BLANK_LINE", "CUT_EVENT", "CUT_CHUNK"})
  void brokenStreamIsNeitherCompletedNorMixedWithTheErrorOfAnotherServer(Misbehavior misbehavior)
      throws IOException {
    try (GatewayCluster cluster = cluster()) {
      cluster.publish(2, "streaming");
      cluster.addMisbehavingServer("s-1", "app", misbehavior);
      cluster.addServer("s-2", "app", false).setForcedStatus(500);
      cluster.awaitReady("entry-1");
      cluster.await(
          "the manifest has been applied",
          () -> cluster.logUnchecked("entry-1").contains("event=7501"));
      for (int i = 0; i < 12; i++) {
        String response = readUntilClose(cluster.clientPort("entry-1"), "r" + i);
        assertThat(response.split("HTTP/1.1", -1)).hasLength(2);
        if (response.startsWith("HTTP/1.1 200")) {
          assertThat(response).contains("data: first");
          assertThat(response).doesNotContain("\r\n0\r\n\r\n");
          assertThat(response).doesNotContain("stamp-of-s-2");
        }
      }
    }
  }

  /** Sends a request on a new connection and returns all bytes that come until it closes. */
  private static String readUntilClose(int port, String id) throws IOException {
    try (Socket client = new Socket("127.0.0.1", port)) {
      client.setSoTimeout((int) TIMEOUT.toMillis());
      String request =
          "POST /seat HTTP/1.1\r\nhost: "
              + BOOK
              + "\r\ncarobhoist-request-id: "
              + id
              + "\r\nconnection: close\r\ncontent-length: 0\r\n\r\n";
      client.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
      return new String(client.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
    }
  }

  @ParameterizedTest
  @EnumSource(names = {"CUT_HEAD", "RESET_HEAD", "CUT_BEFORE_BLANK_LINE", "CUT_EVENT", "CUT_CHUNK"})
  void itemsOfEngineThatBreaksOffHaveTheWholeTextOfAnother(Misbehavior misbehavior)
      throws IOException {
    try (GatewayCluster cluster = cluster()) {
      cluster.addMisbehavingServer("e-1", "lm", misbehavior, true);
      cluster.addServer("e-2", "lm", true);
      cluster.awaitReady("entry-1");
      cluster.post("entry-1", JOBS, "/j", PlatformDocuments.job(1, "a", "b", "c"), "j1");
      cluster.awaitListed("entry-1", "j1", 3);
      String results = cluster.results("entry-1", "j1");
      assertThat(results).doesNotContain("dead");
      for (String item : List.of("a", "b", "c")) {
        String last = item + "-2\\n" + item + "-3\\n" + item + "-4\"";
        assertWithMessage(results).that(results).contains(last);
      }
    }
  }

  @Test
  void oddEntriesInTheRegistryStopNeitherRequestsNorItemsNorItsReaders() throws IOException {
    try (GatewayCluster cluster = cluster()) {
      cluster.addServer("s-1", "app", false);
      cluster.addServer("e-1", "lm", true);
      cluster.awaitReady("entry-1");
      int number = 0;
      for (String address : List.of("?:9080", "10.0.0.1:65536", "10.0.0.1:99999999999", "a b:80")) {
        for (String service : List.of("app", "lm")) {
          String models =
              service.equals("lm") ? ",\"models\":[{\"name\":\"m0\",\"version\":1}]" : "";
          String entry = PlatformDocuments.serverEntry(service, address, "a", "ready", 1, models);
          cluster.store().put("keyed.servers", "odd-" + number++, entry);
          String large = entry.replace("\"sequence\":1", "\"sequence\":" + "9".repeat(900));
          cluster.store().put("keyed.servers", "odd-" + number++, large);
        }
      }
      cluster.store().put("keyed.servers", "odd-" + number++, "[".repeat(100_000));
      String nested = "{\"service\":" + "{\"a\":".repeat(40_000);
      cluster.store().put("keyed.servers", "odd-" + number, nested);
      final PlatformServerStandIn second = cluster.addServer("s-2", "app", false);
      for (int i = 0; i < 40 || second.runs().isEmpty(); i++) {
        assertThat(cluster.post("entry-1", BOOK, "/seat", "x", "r" + i).status().code())
            .isEqualTo(200);
      }
      cluster.post("entry-1", JOBS, "/j", PlatformDocuments.job(1, "a", "b", "c"), "j1");
      cluster.awaitListed("entry-1", "j1", 3);
      assertThat(cluster.log("entry-1")).doesNotContain("event=1004");
      assertThat(cluster.process("entry-1").isAlive()).isTrue();
    }
  }

  @Test
  void endlessStreamIsSubjectToBackpressureOfItsClient() throws IOException {
    try (GatewayCluster cluster = cluster()) {
      cluster.publish(2, "streaming");
      MisbehavingServerStandIn server =
          cluster.addMisbehavingServer("s-1", "app", Misbehavior.ENDLESS_BODY);
      cluster.awaitReady("entry-1");
      cluster.await(
          "the manifest has been applied",
          () -> cluster.logUnchecked("entry-1").contains("event=7501"));
      try (Socket client = new Socket("127.0.0.1", cluster.clientPort("entry-1"))) {
        String request =
            "POST /seat HTTP/1.1\r\nhost: "
                + BOOK
                + "\r\ncarobhoist-request-id: r1\r\ncontent-length: 0\r\n\r\n";
        client.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
        long[] lastBytes = {0};
        cluster.await(
            "backpressure stops the server from sending",
            () -> {
              long previousBytes = lastBytes[0];
              lastBytes[0] = server.fillerBytes();
              return previousBytes > 0 && previousBytes == lastBytes[0];
            });
        assertThat(lastBytes[0]).isLessThan(MAX_BUFFERED_BYTES);
      }
    }
  }

  @Test
  void endlessResponseOfStoreIsAborted() throws IOException {
    MisbehavingServerStandIn server =
        MisbehavingServerStandIn.start("store", Misbehavior.ENDLESS_BODY);
    InetSocketAddress address =
        new InetSocketAddress("127.0.0.1", Integer.parseInt(server.address().split(":")[1]));
    StoreCall call =
        new StoreCall("GET", "/-/log-read?topic=t&part=0&from=0", new byte[0], TIMEOUT);
    CompletableFuture<StoreReply> reply =
        DirectTransport.to(address, ClientFactory.ofDefault()).call(call);
    assertThat(assertThrows(CompletionException.class, reply::join))
        .hasCauseThat()
        .isInstanceOf(ContentTooLargeException.class);
    server.stop();
  }

  @ParameterizedTest
  @EnumSource(
      names = {
        "ENDLESS_HEAD",
        "ENDLESS_BLANKS",
        "ENDLESS_BODY",
        "ENDLESS_CHUNK_EXTENSION",
        "TRICKLE"
      })
  void rewardCallsAndItemsCompleteDespiteEndlessResponses(Misbehavior misbehavior)
      throws IOException {
    try (GatewayCluster cluster = cluster()) {
      cluster.addMisbehavingServer("s-1", "app", misbehavior);
      cluster.addServer("s-2", "app", false);
      cluster.addMisbehavingServer("e-1", "lm", misbehavior, true);
      cluster.addServer("e-2", "lm", true);
      cluster.awaitReady("entry-1");
      String job = PlatformDocuments.scoredJob(1, "a", "b", "c", "d", "e", "f");
      cluster.post("entry-1", JOBS, "/j", job, "j1");
      cluster.awaitListed("entry-1", "j1", 6);
      String results = cluster.results("entry-1", "j1");
      for (String item : List.of("a", "b", "c", "d", "e", "f")) {
        assertWithMessage(item)
            .that(results)
            .contains("\"id\":\"" + item + "\",\"state\":\"completed\"");
      }
      assertThat(cluster.process("entry-1").isAlive()).isTrue();
    }
  }
}
