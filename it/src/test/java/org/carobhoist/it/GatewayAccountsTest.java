package org.carobhoist.it;

import static com.google.common.truth.Truth.assertThat;

import com.linecorp.armeria.common.AggregatedHttpResponse;
import com.linecorp.armeria.common.HttpMethod;
import com.linecorp.armeria.common.RequestHeaders;
import com.linecorp.armeria.common.RequestHeadersBuilder;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.carobhoist.standin.PlatformDocuments;
import org.carobhoist.standin.PlatformServerStandIn;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.api.parallel.Execution;
import org.junit.jupiter.api.parallel.ExecutionMode;

/**
 * Two entries with accounts. Guards against requests that run without a known key, servers that are
 * told a wrong account or a key, and jobs that another account can reach or their own can't.
 */
@Execution(ExecutionMode.CONCURRENT)
final class GatewayAccountsTest {

  private static final String JOBS = PlatformDocuments.JOBS_HOST;
  private static final String BOOK = PlatformDocuments.BOOKINGS_HOST;

  /** Far above the usual time of a request, also on a busy machine. */
  private static final Duration TIMEOUT = Duration.ofSeconds(50);

  /** Number of events of a stream that a test ends by lowering the number. */
  private static final int ENDLESS = 100_000;

  private static final String KEY = "sk-hule-4411";
  private static final String LATER_KEY = "sk-hule-5522";
  private static final String OTHER_KEY = "sk-fida-6633";
  private static final String UNKNOWN_KEY = "sk-none-7744";

  private static final String BOTH_ACCOUNTS =
      account("hule930", KEY, LATER_KEY) + "," + account("fida11", OTHER_KEY);

  @TempDir private Path folder;

  private static String account(String name, String... keys) {
    String list = String.join("\",\"", keys);
    return "{\"name\":\"" + name + "\",\"api_keys\":[\"" + list + "\"],\"priority\":1}";
  }

  /** Publishes a manifest with accounts; the route for bookings may be public. */
  private static void publish(
      GatewayCluster cluster, long version, String kind, boolean publicBookings, String accounts) {
    String manifest =
        PlatformDocuments.manifest(version, kind, TIMEOUT)
            .replaceFirst("\\{", "{\"tenants\":[" + accounts + "],")
            .replace("{\"name\":\"book\"", "{\"public\":" + publicBookings + ",\"name\":\"book\"");
    cluster.store().put("keyed.op", "config", manifest);
  }

  private GatewayCluster cluster(String kind, boolean publicBookings) throws IOException {
    GatewayCluster cluster = GatewayCluster.start(folder);
    publish(cluster, 2, kind, publicBookings, BOTH_ACCOUNTS);
    cluster.startEntry("entry-1");
    cluster.startEntry("entry-2");
    return cluster;
  }

  private static RequestHeadersBuilder headers(
      HttpMethod method, String host, String path, String id) {
    return RequestHeaders.builder(method, path)
        .authority(host)
        .add("carobhoist-request-id", id)
        .add("carobhoist-deadline-ms", Long.toString(TIMEOUT.toMillis()));
  }

  private static RequestHeaders withKey(
      HttpMethod method, String host, String path, String id, String key) {
    return headers(method, host, path, id).add("authorization", "Bearer " + key).build();
  }

  private static CompletableFuture<AggregatedHttpResponse> book(
      GatewayCluster cluster, String id, String key) {
    return cluster.sendAsync("entry-1", withKey(HttpMethod.POST, BOOK, "/seat", id, key), "seat");
  }

  /** Sends a booking whose Connection header names the Authorization header, as raw bytes. */
  private static String statusOfHopByHopKey(GatewayCluster cluster, String id) throws IOException {
    String request =
        String.join(
            "\r\n",
            "POST /seat HTTP/1.1",
            "Host: " + BOOK,
            "Carobhoist-Request-Id: " + id,
            "Authorization: Bearer " + KEY,
            "Connection: close, Authorization",
            "Content-Length: 4",
            "",
            "seat");
    try (Socket socket = new Socket("127.0.0.1", cluster.clientPort("entry-1"))) {
      socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
      String response =
          new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
      return response.lines().findFirst().orElse("");
    }
  }

  private static int bookingStatus(GatewayCluster cluster, String id, String key) {
    return book(cluster, id, key).join().status().code();
  }

  private static int submit(GatewayCluster cluster, String entry, String key, String... items) {
    RequestHeaders headers = withKey(HttpMethod.POST, JOBS, "/j", "j1", key);
    String job = PlatformDocuments.job(1, items);
    return cluster.sendAsync(entry, headers, job).join().status().code();
  }

  private static AggregatedHttpResponse callJob(
      GatewayCluster cluster, String entry, HttpMethod method, String key) {
    RequestHeaders headers = withKey(method, JOBS, "/-/lots/j1?after=0", "r1", key);
    return cluster.sendAsync(entry, headers, "").join();
  }

  private static int readStatus(GatewayCluster cluster, String entry, String key) {
    return callJob(cluster, entry, HttpMethod.GET, key).status().code();
  }

  private static void awaitResults(GatewayCluster cluster, String entry, String key, int count) {
    cluster.await(
        count + " results at " + entry,
        () ->
            callJob(cluster, entry, HttpMethod.GET, key)
                .contentUtf8()
                .contains("\"next\":" + count + ","));
  }

  private static void assertSentFor(String account, List<RequestHeaders> received) {
    assertThat(received).isNotEmpty();
    for (RequestHeaders headers : received) {
      assertThat(headers.getAll("carobhoist-tenant")).containsExactly(account);
      assertThat(headers.contains("authorization")).isFalse();
    }
  }

  private static void assertNoKeyInLogs(GatewayCluster cluster) throws IOException {
    for (String entry : List.of("entry-1", "entry-2")) {
      for (String key : List.of(KEY, LATER_KEY, OTHER_KEY, UNKNOWN_KEY)) {
        assertThat(cluster.log(entry)).doesNotContain(key);
        assertThat(cluster.state(entry)).doesNotContain(key);
      }
    }
  }

  @Test
  void serversAreToldTheAccountOfTheKey() throws IOException {
    try (GatewayCluster cluster = cluster("idempotent", false)) {
      final PlatformServerStandIn server = cluster.addServer("s-1", "app", false);
      cluster.awaitReady("entry-1");
      cluster.awaitReady("entry-2");
      assertThat(bookingStatus(cluster, "r1", KEY)).isEqualTo(200);
      assertSentFor("hule930", server.received("r1"));
      RequestHeaders forged =
          headers(HttpMethod.POST, BOOK, "/seat", "r2")
              .add("authorization", "bearer " + OTHER_KEY)
              .add("carobhoist-tenant", "hule930")
              .add("connection", "carobhoist-tenant")
              .build();
      assertThat(cluster.sendAsync("entry-1", forged, "seat").join().status().code())
          .isEqualTo(200);
      assertSentFor("fida11", server.received("r2"));
      assertThat(statusOfHopByHopKey(cluster, "r7")).isEqualTo("HTTP/1.1 200 OK");
      assertSentFor("hule930", server.received("r7"));

      AggregatedHttpResponse missing = cluster.post("entry-1", BOOK, "/seat", "seat", "r3");
      assertThat(missing.status().code()).isEqualTo(401);
      assertThat(missing.headers().get("www-authenticate")).isEqualTo("Bearer");
      assertThat(bookingStatus(cluster, "r4", UNKNOWN_KEY)).isEqualTo(401);
      RequestHeaders two =
          headers(HttpMethod.POST, BOOK, "/seat", "r5")
              .add("authorization", "Bearer " + KEY)
              .add("authorization", "Bearer " + OTHER_KEY)
              .build();
      assertThat(cluster.sendAsync("entry-1", two, "seat").join().status().code()).isEqualTo(401);
      assertThat(cluster.post("entry-1", "other.example", "/", "", "r6").status().code())
          .isEqualTo(404);
      assertThat(server.runs()).hasSize(3);
      assertNoKeyInLogs(cluster);
    }
  }

  @Test
  void publicRouteNeedsNoKey() throws IOException {
    try (GatewayCluster cluster = cluster("idempotent", true)) {
      PlatformServerStandIn server = cluster.addServer("s-1", "app", false);
      cluster.awaitReady("entry-1");
      RequestHeaders forged =
          headers(HttpMethod.POST, BOOK, "/seat", "r1")
              .add("carobhoist-tenant", "hule930")
              .add("authorization", "Bearer " + UNKNOWN_KEY)
              .build();
      assertThat(cluster.sendAsync("entry-1", forged, "seat").join().status().code())
          .isEqualTo(200);
      RequestHeaders received = server.received("r1").get(0);
      assertThat(received.contains("carobhoist-tenant")).isFalse();
      assertThat(received.contains("authorization")).isFalse();
      assertThat(bookingStatus(cluster, "r2", KEY)).isEqualTo(200);
      assertSentFor("hule930", server.received("r2"));
    }
  }

  @Test
  void openRequestsAreCompletedAfterTheirKeyIsRevoked() throws IOException {
    try (GatewayCluster cluster = cluster("idempotent", false)) {
      PlatformServerStandIn server = cluster.addServer("s-1", "app", true);
      final PlatformServerStandIn engine = cluster.addServer("e-1", "lm", true);
      server.setEvents(ENDLESS, 50);
      engine.setEvents(ENDLESS, 50);
      cluster.awaitReady("entry-1");
      assertThat(submit(cluster, "entry-1", KEY, "a")).isEqualTo(202);
      cluster.await("the item runs", () -> !engine.received("a").isEmpty());
      final CompletableFuture<AggregatedHttpResponse> open = book(cluster, "r1", KEY);
      cluster.await("the request runs", () -> !server.received("r1").isEmpty());
      publish(cluster, 3, "idempotent", false, account("hule930", LATER_KEY));
      cluster.await("the key is revoked", () -> readStatus(cluster, "entry-1", KEY) == 401);
      assertThat(open.isDone()).isFalse();
      server.setEvents(1, 50);
      engine.setEvents(1, 50);
      assertThat(open.join().status().code()).isEqualTo(200);
      assertThat(bookingStatus(cluster, "r2", KEY)).isEqualTo(401);
      assertThat(readStatus(cluster, "entry-1", KEY)).isEqualTo(401);
      assertThat(bookingStatus(cluster, "r3", LATER_KEY)).isEqualTo(200);
      awaitResults(cluster, "entry-1", LATER_KEY, 1);
      assertSentFor("hule930", engine.received("a"));
      publish(cluster, 4, "idempotent", false, account("hule930", KEY) + "," + account("x", KEY));
      cluster.await(
          "the invalid manifest is skipped",
          () -> cluster.logUnchecked("entry-1").contains("have the same key"));
      assertThat(bookingStatus(cluster, "r4", LATER_KEY)).isEqualTo(200);
      assertThat(bookingStatus(cluster, "r5", KEY)).isEqualTo(401);
      assertNoKeyInLogs(cluster);
    }
  }

  @Test
  void openStreamIsCompletedAfterItsKeyIsRevoked() throws IOException {
    try (GatewayCluster cluster = cluster("streaming", false)) {
      PlatformServerStandIn server = cluster.addServer("s-1", "app", true);
      server.setEvents(ENDLESS, 50);
      cluster.awaitReady("entry-1");
      final CompletableFuture<AggregatedHttpResponse> open = book(cluster, "r1", KEY);
      cluster.await("the stream runs", () -> server.lastSentEvent("r1") > 2);
      publish(cluster, 3, "streaming", false, "");
      cluster.await("the key is revoked", () -> readStatus(cluster, "entry-1", KEY) == 401);
      assertThat(open.isDone()).isFalse();
      final int sent = server.lastSentEvent("r1");
      cluster.await("the stream continues", () -> server.lastSentEvent("r1") > sent + 2);
      server.setEvents(1, 50);
      assertThat(open.join().contentUtf8()).contains("data: r1-" + (sent + 2));
      assertSentFor("hule930", server.received("r1"));
    }
  }

  @Test
  void jobsBelongToTheirAccountAtEveryEntryAndAfterRestart() throws IOException {
    try (GatewayCluster cluster = cluster("idempotent", false)) {
      PlatformServerStandIn engine = cluster.addServer("e-1", "lm", true);
      engine.setEvents(80, 50);
      cluster.awaitReady("entry-1");
      cluster.awaitReady("entry-2");
      assertThat(submit(cluster, "entry-1", KEY, "a", "b")).isEqualTo(202);
      assertThat(submit(cluster, "entry-2", OTHER_KEY, "c")).isEqualTo(202);
      assertThat(readStatus(cluster, "entry-2", LATER_KEY)).isEqualTo(200);
      cluster.await("stored texts", () -> engine.lastSentEvent("a") > 40);
      cluster.process("entry-1").kill();
      cluster.process("entry-2").kill();
      cluster.process("entry-1").restart();
      cluster.process("entry-2").restart();
      cluster.awaitReady("entry-2");
      awaitResults(cluster, "entry-2", LATER_KEY, 2);
      awaitResults(cluster, "entry-2", OTHER_KEY, 1);
      assertSentFor("hule930", engine.received("a"));
      assertSentFor("hule930", engine.received("b"));
      assertSentFor("fida11", engine.received("c"));
      assertThat(engine.received("a").size()).isAtLeast(2);

      assertThat(callJob(cluster, "entry-2", HttpMethod.DELETE, OTHER_KEY).status().code())
          .isEqualTo(200);
      assertThat(callJob(cluster, "entry-2", HttpMethod.GET, KEY).contentUtf8())
          .contains("\"total\":2,\"next\":2,");
      publish(cluster, 3, "idempotent", false, account("hule930", KEY) + "," + account("x", "k9"));
      cluster.await("the new account", () -> readStatus(cluster, "entry-2", "k9") == 404);
      assertThat(callJob(cluster, "entry-2", HttpMethod.DELETE, "k9").status().code())
          .isEqualTo(404);
      assertThat(cluster.get("entry-2", JOBS, "/-/lots/j1").status().code()).isEqualTo(401);
      assertThat(readStatus(cluster, "entry-2", OTHER_KEY)).isEqualTo(401);
    }
  }

  @Test
  void unknownKeyMayBeNewWhileTheStoreIsUnreachable() throws IOException {
    try (GatewayCluster cluster = cluster("idempotent", false)) {
      cluster.addServer("s-1", "app", false);
      cluster.awaitReady("entry-1");
      assertThat(bookingStatus(cluster, "r1", UNKNOWN_KEY)).isEqualTo(401);
      cluster.store().rejectCalls(target -> true);
      cluster.await("503", () -> bookingStatus(cluster, "r2", UNKNOWN_KEY) == 503);
      AggregatedHttpResponse unsure = book(cluster, "r3", UNKNOWN_KEY).join();
      assertThat(unsure.headers().contains("retry-after")).isTrue();
      assertThat(bookingStatus(cluster, "r4", KEY)).isEqualTo(200);
      assertThat(cluster.post("entry-1", BOOK, "/seat", "", "r5").status().code()).isEqualTo(401);
      cluster.store().rejectCalls(target -> false);
      cluster.await("401", () -> bookingStatus(cluster, "r6", UNKNOWN_KEY) == 401);
    }
  }
}
