package org.carobhoist.it;

import static com.google.common.truth.Truth.assertThat;
import static org.carobhoist.it.KeyedClient.callerKey;
import static org.carobhoist.it.KeyedClient.verdict;

import com.linecorp.armeria.common.AggregatedHttpResponse;
import java.io.IOException;
import java.nio.file.Path;
import java.time.Duration;
import java.time.Instant;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;
import org.carobhoist.core.idempotency.HomePolicy;
import org.carobhoist.standin.FaultProxy;
import org.carobhoist.standin.PlainServiceStandIn;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Guards against requests with an idempotency key that run twice, and against wrong verdicts, when
 * the log, a link, the sidecar or the endpoint fails.
 */
final class KeyedCallsTest {

  private static final String SIDECAR = "reservas-1";
  private static final Duration SLOW_RESPONSE = Duration.ofSeconds(2);
  private static final Duration SHORT_DEADLINE = Duration.ofSeconds(1);
  private static final Duration LONG_DEADLINE = Duration.ofSeconds(30);

  @TempDir private Path folder;
  private final PlainServiceStandIn plain = new PlainServiceStandIn();
  private TestCluster cluster;
  private KeyedClient client;

  @BeforeEach
  void start() {
    plain.start();
    cluster = TestCluster.start(folder);
    client = new KeyedClient(cluster);
  }

  @AfterEach
  void stop() {
    cluster.close();
    plain.stop();
  }

  @Test
  void resendsJoinTheRunOrGetItsResponse() throws IOException {
    startSidecar(plain.uri().toString());
    startEntries();
    awaitCallerKeysAccepted();
    plain.setDelay(SLOW_RESPONSE);
    String key = callerKey(Instant.now());
    CompletableFuture<AggregatedHttpResponse> first =
        client.send("entry-1", key, "b", LONG_DEADLINE);
    awaitRun("b");
    assertCompleted(client.book("entry-2", key, "b"), "b");
    assertCompleted(first.join(), "b");
    assertThat(first.join().headers().get("idempotency-key")).isEqualTo(key);
    assertCompleted(client.book("entry-2", key, "b"), "b");
    assertThat(runs("b")).isEqualTo(1);
    rejectsInvalidKeys(key);
    plain.setDelay(Duration.ZERO);
    String suspendedKey = callerKey(Instant.now());
    leaseExpiresWhileSidecarIsSuspended(suspendedKey);
    servesKnownKeysDuringLogOutage(key);
    cluster.platform().setLogDown(false);
    TestCluster.await(
        "booking after the pause completes",
        () -> verdict(client.book("entry-2", suspendedKey, "paused")).equals("COMPLETED"));
    assertThat(runs("paused")).isEqualTo(1);
  }

  private void rejectsInvalidKeys(String key) {
    AggregatedHttpResponse reused = client.book("entry-1", key, "another");
    assertThat(reused.status().code()).isEqualTo(422);
    assertRefused(client.book("entry-1", UUID.randomUUID().toString(), "v4"), 400, "NOT_RUN");
    String future = callerKey(Instant.now().plus(HomePolicy.DEFAULT.skew()).plusSeconds(60));
    assertRefused(client.book("entry-1", future, "future"), 400, "NOT_RUN");
    assertThat(runs("another") + runs("v4") + runs("future")).isEqualTo(0);
  }

  private void servesKnownKeysDuringLogOutage(String knownKey) throws IOException {
    AggregatedHttpResponse refused = client.book("entry-1", callerKey(Instant.now()), "in outage");
    assertRefused(refused, 503, "NOT_RUN");
    assertThat(refused.contentUtf8()).contains("/v1/keys");
    assertThat(runs("in outage")).isEqualTo(0);
    assertCompleted(client.book("entry-2", knownKey, "b"), "b");
    assertCompleted(client.book("entry-1", client.issuedKey("entry-2"), "issued"), "issued");
    assertCompleted(client.book("entry-1", "", "unkeyed"), "unkeyed");
  }

  /**
   * Suspends the sidecar for longer than its lease. The request stays in the socket buffer and is
   * read after the lease has expired; it must not run then.
   */
  private void leaseExpiresWhileSidecarIsSuspended(String key) throws IOException {
    cluster.process(SIDECAR).pause();
    cluster.platform().setLogDown(true);
    long end = System.nanoTime() + HomePolicy.DEFAULT.lease().plusSeconds(1).toNanos();
    AggregatedHttpResponse response = client.send("entry-1", key, "paused", SHORT_DEADLINE).join();
    assertThat(verdict(response)).isEqualTo("MAY_HAVE_RUN");
    TestCluster.await("pause outlasts the lease", () -> System.nanoTime() > end);
    cluster.process(SIDECAR).resume();
    TestCluster.await("lease has expired", () -> state().contains("\"leaseValid\":false"));
    cluster.awaitLinks("entry-1", 1);
    cluster.awaitLinks("entry-2", 1);
    assertThat(runs("paused")).isEqualTo(0);
  }

  @Test
  void linkFaultsCauseNoSecondRun() throws IOException {
    startSidecar(plain.uri().toString());
    FaultProxy proxy = cluster.proxyLinks(SIDECAR);
    startEntries();
    plain.setDelay(SLOW_RESPONSE);
    try {
      surviveLinkFault("cut", proxy::closeConnections, () -> {}, LONG_DEADLINE);
      surviveLinkFault(
          "frozen", () -> proxy.setFrozen(true), () -> proxy.setFrozen(false), SHORT_DEADLINE);
      surviveLinkFault(
          "dropped replies",
          () -> proxy.setDropReplies(true),
          () -> {
            proxy.setDropReplies(false);
            proxy.closeConnections();
          },
          SHORT_DEADLINE);
    } finally {
      proxy.stop();
    }
  }

  private void surviveLinkFault(String body, Runnable fault, Runnable repair, Duration deadline)
      throws IOException {
    cluster.awaitLinks("entry-1", 1);
    cluster.awaitLinks("entry-2", 1);
    String key = client.issuedKey("entry-1");
    CompletableFuture<AggregatedHttpResponse> first = client.send("entry-1", key, body, deadline);
    awaitRun(body);
    fault.run();
    assertThat(verdict(first.join())).isEqualTo("MAY_HAVE_RUN");
    repair.run();
    TestCluster.await(
        "response after link fault " + body,
        () -> verdict(client.book("entry-2", key, body)).equals("COMPLETED"));
    assertThat(runs(body)).isEqualTo(1);
  }

  @Test
  void endpointFaultsGetTheCorrectVerdict() throws IOException {
    FaultProxy proxy = FaultProxy.forTarget("127.0.0.1", plain.uri().getPort());
    proxy.start();
    try {
      startSidecar("http://127.0.0.1:" + proxy.port());
      startEntries();
      cutResponseStaysUnknown(proxy);
      refusedConnectionDidNotRun(proxy);
    } finally {
      proxy.stop();
    }
  }

  private void cutResponseStaysUnknown(FaultProxy proxy) throws IOException {
    plain.setDelay(SLOW_RESPONSE);
    String key = client.issuedKey("entry-1");
    CompletableFuture<AggregatedHttpResponse> first =
        client.send("entry-1", key, "cut", LONG_DEADLINE);
    awaitRun("cut");
    proxy.closeConnections();
    assertRefused(first.join(), 502, "MAY_HAVE_RUN");
    assertRefused(client.book("entry-2", key, "cut"), 502, "MAY_HAVE_RUN");
    assertThat(runs("cut")).isEqualTo(1);
    plain.setDelay(Duration.ZERO);
  }

  private void refusedConnectionDidNotRun(FaultProxy proxy) throws IOException {
    String key = client.issuedKey("entry-1");
    proxy.stop();
    assertThat(verdict(client.book("entry-1", key, "down"))).isEqualTo("NOT_RUN");
    assertThat(runs("down")).isEqualTo(0);
  }

  @Test
  void requestIsNotRunAgainAfterCrashBeforeItsResponse() throws IOException {
    startSidecar(plain.uri().toString());
    startEntries();
    plain.setDelay(SLOW_RESPONSE);
    String key = client.issuedKey("entry-1");
    CompletableFuture<AggregatedHttpResponse> first =
        client.send("entry-1", key, "c", LONG_DEADLINE);
    awaitRun("c");
    cluster.process(SIDECAR).kill();
    assertThat(verdict(first.join())).isEqualTo("MAY_HAVE_RUN");
    final String callerKey = callerKey(Instant.now());
    cluster.process(SIDECAR).restart();
    cluster.awaitReady();
    cluster.awaitLinks("entry-2", 1);
    TestCluster.await("sidecar has rejoined", () -> state().contains("\"member\":true"));
    assertRefused(client.book("entry-2", key, "c"), 409, "MAY_HAVE_RUN");
    AggregatedHttpResponse early = client.book("entry-2", callerKey, "early");
    assertThat(verdict(early)).isAnyOf("MAY_HAVE_RUN", "NOT_RUN");
    assertThat(runs("c")).isEqualTo(1);
    assertThat(runs("early")).isEqualTo(0);
  }

  private void startSidecar(String endpoint) throws IOException {
    cluster.startSidecar(SIDECAR, "centro-a", "reservas", "plain", java.net.URI.create(endpoint));
  }

  private void startEntries() throws IOException {
    cluster.startEntry("entry-1", "centro-a");
    cluster.startEntry("entry-2", "centro-b");
    cluster.awaitReady();
    cluster.awaitLinks("entry-1", 1);
    cluster.awaitLinks("entry-2", 1);
  }

  /**
   * Waits until keys created now are accepted. A sidecar that has just become the owner of keys
   * rejects those created at or before a certain time, the floor (see {@link HomePolicy#floor}),
   * because they may have run at an earlier owner.
   */
  private void awaitCallerKeysAccepted() {
    AtomicInteger tries = new AtomicInteger();
    TestCluster.await(
        "caller keys are accepted",
        () -> {
          String body = "probe " + tries.getAndIncrement();
          String key = callerKey(Instant.now());
          return verdict(client.book("entry-1", key, body)).equals("COMPLETED");
        });
  }

  private void awaitRun(String body) {
    TestCluster.await("run of " + body, () -> runs(body) == 1);
  }

  private int runs(String body) {
    AtomicInteger count = plain.runs().get(body);
    return count == null ? 0 : count.get();
  }

  private String state() {
    return cluster.state(SIDECAR);
  }

  private static void assertCompleted(AggregatedHttpResponse response, String body) {
    assertThat(verdict(response)).isEqualTo("COMPLETED");
    assertThat(response.contentUtf8()).isEqualTo("done " + body);
  }

  private static void assertRefused(AggregatedHttpResponse response, int status, String verdict) {
    assertThat(response.status().code()).isEqualTo(status);
    assertThat(verdict(response)).isEqualTo(verdict);
    assertThat(response.contentType().toString()).contains("application/problem+json");
  }
}
