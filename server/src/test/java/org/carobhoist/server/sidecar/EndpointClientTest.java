package org.carobhoist.server.sidecar;

import static com.google.common.truth.Truth.assertThat;

import com.linecorp.armeria.common.AggregatedHttpResponse;
import com.linecorp.armeria.common.HttpMethod;
import com.linecorp.armeria.common.RequestHeaders;
import com.linecorp.armeria.common.ResponseHeaders;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;
import org.carobhoist.core.common.Refusal;
import org.carobhoist.core.common.Verdict;
import org.carobhoist.standin.EndlessServerStandIn;
import org.carobhoist.standin.MalformedResponse;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Checks the verdict on a failed request against what the endpoint has read: a request that was
 * read must never be reported as not run.
 */
final class EndpointClientTest {

  private static final byte[] CONTENT = "bench 7".getBytes(StandardCharsets.UTF_8);
  private static final String OK = "HTTP/1.1 200 OK\r\n";

  private static final long MAX_ENDLESS_BYTES = 64L << 20;

  /** Upper bound of what is buffered between an endpoint and a sink that takes nothing. */
  private static final long MAX_BUFFERED_BYTES = 32L << 20;

  private static final Duration POLL_INTERVAL = Duration.ofMillis(100);

  private final AtomicInteger requestsRead = new AtomicInteger();
  private ServerSocket listener;
  private EndpointClient client;

  @BeforeEach
  void listen() throws IOException {
    listener = new ServerSocket(0, 16, InetAddress.getByName("127.0.0.1"));
    URI uri = URI.create("http://127.0.0.1:" + listener.getLocalPort());
    client = EndpointClient.at(uri, Runnable::run);
  }

  @AfterEach
  void close() throws IOException {
    listener.close();
  }

  @Test
  void refusedConnectionIsReportedAsNotRun() throws IOException {
    listener.close();
    Outcome outcome = exchange();
    assertThat(outcome.refusal.verdict()).isEqualTo(Verdict.NOT_RUN);
  }

  @Test
  void requestThatWasReadIsReportedAsMayHaveRun() {
    serve("");
    Outcome outcome = exchange();
    assertThat(requestsRead.get()).isEqualTo(1);
    assertThat(outcome.refusal.verdict()).isEqualTo(Verdict.MAY_HAVE_RUN);
  }

  @Test
  void truncatedBodyIsReportedAsMayHaveRun() {
    serve(OK + "Content-Length: 10\r\n\r\nhalf");
    assertMayHaveRun(exchange());
  }

  @Test
  void missingLastChunkIsReportedAsMayHaveRun() {
    serve(OK + "Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n");
    assertMayHaveRun(exchange());
  }

  @ParameterizedTest
  @EnumSource
  void malformedResponseIsReportedAsMayHaveRun(MalformedResponse malformed) {
    serve(new String(malformed.bytes("r1", "stamp"), StandardCharsets.UTF_8));
    assertMayHaveRun(exchange());
    CompletableFuture<AggregatedHttpResponse> reply =
        client.call(RequestHeaders.of(HttpMethod.POST, "/load"), CONTENT, Duration.ZERO);
    assertThat(reply.handle((ok, failure) -> failure).orTimeout(20, TimeUnit.SECONDS).join())
        .isNotNull();
  }

  @Test
  void completeResponseIsDelivered() {
    serve(OK + "Content-Length: 4\r\n\r\nfull");
    Outcome outcome = exchange();
    assertThat(outcome.refusal).isNull();
    assertThat(outcome.text.toString()).isEqualTo("full");
  }

  /** The endpoint closes the connection after each response, so a request may hit a stale one. */
  @Test
  void requestReadOnStaleConnectionIsNeverReportedAsNotRun() {
    serve(OK + "Content-Length: 4\r\n\r\nfull");
    for (int i = 0; i < 50; i++) {
      int before = requestsRead.get();
      Outcome outcome = exchange();
      if (outcome.refusal != null && outcome.refusal.verdict() == Verdict.NOT_RUN) {
        assertThat(requestsRead.get()).isEqualTo(before);
      }
    }
  }

  @ParameterizedTest
  @EnumSource(
      value = EndlessServerStandIn.Part.class,
      mode = EnumSource.Mode.EXCLUDE,
      names = {"EVENT", "EVENTS"})
  void endlessReplyIsNeitherKeptNorReadOn(EndlessServerStandIn.Part part) throws IOException {
    EndlessServerStandIn endpoint = EndlessServerStandIn.start(part, MAX_ENDLESS_BYTES);
    CompletableFuture<AggregatedHttpResponse> reply =
        EndpointClient.at(endpoint.uri(), Runnable::run)
            .call(RequestHeaders.of(HttpMethod.GET, "/load"), new byte[0], Duration.ZERO);
    assertThat(endpoint.closedByClient().orTimeout(20, TimeUnit.SECONDS).join()).isTrue();
    assertThat(reply.handle((ok, failure) -> failure).orTimeout(20, TimeUnit.SECONDS).join())
        .isNotNull();
    endpoint.stop();
  }

  @ParameterizedTest
  @EnumSource(
      value = EndlessServerStandIn.Part.class,
      names = {"BODY", "EVENTS"})
  void endlessResponseIsReadNoFasterThanItsSinkTakesIt(EndlessServerStandIn.Part part)
      throws IOException {
    EndlessServerStandIn endpoint = EndlessServerStandIn.start(part, MAX_ENDLESS_BYTES);
    Outcome outcome = new Outcome();
    outcome.taken = new CompletableFuture<>();
    EndpointClient.at(endpoint.uri(), Runnable::run)
        .exchange(RequestHeaders.of(HttpMethod.GET, "/rows"), new byte[0], outcome);
    awaitNoProgress(endpoint);
    assertThat(endpoint.sentBytes()).isLessThan(MAX_BUFFERED_BYTES);
    final long sentBefore = endpoint.sentBytes();
    outcome.taken.complete(null);
    assertThat(endpoint.closedByClient().orTimeout(20, TimeUnit.SECONDS).join()).isFalse();
    assertThat(endpoint.sentBytes()).isGreaterThan(sentBefore);
    endpoint.stop();
  }

  private static void awaitNoProgress(EndlessServerStandIn endpoint) {
    for (long last = -1; last <= 0 || last != endpoint.sentBytes(); ) {
      last = endpoint.sentBytes();
      LockSupport.parkNanos(POLL_INTERVAL.toNanos());
    }
  }

  private static void assertMayHaveRun(Outcome outcome) {
    assertThat(outcome.refusal).isNotNull();
    assertThat(outcome.refusal.verdict()).isEqualTo(Verdict.MAY_HAVE_RUN);
  }

  private Outcome exchange() {
    Outcome outcome = new Outcome();
    RequestHeaders headers = RequestHeaders.of(HttpMethod.POST, "/bookings");
    client.exchange(headers, CONTENT, outcome);
    outcome.done.orTimeout(20, TimeUnit.SECONDS).join();
    return outcome;
  }

  private void serve(String response) {
    Thread t = new Thread(() -> acceptAll(response), "raw-endpoint");
    t.setDaemon(true);
    t.start();
  }

  private void acceptAll(String response) {
    while (!listener.isClosed()) {
      try (Socket socket = listener.accept()) {
        readHead(socket);
        OutputStream out = socket.getOutputStream();
        out.write(response.getBytes(StandardCharsets.UTF_8));
        out.flush();
        socket.shutdownOutput();
      } catch (IOException e) {
        if (!listener.isClosed()) {
          throw new UncheckedIOException(e);
        }
      }
    }
  }

  private void readHead(Socket socket) throws IOException {
    BufferedReader in =
        new BufferedReader(
            new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII));
    for (String line = in.readLine(); line != null; line = in.readLine()) {
      if (line.isEmpty()) {
        requestsRead.incrementAndGet();
        in.skip(CONTENT.length);
        return;
      }
    }
  }

  private static final class Outcome implements EndpointSink {

    private final CompletableFuture<Void> done = new CompletableFuture<>();
    private final StringBuilder text = new StringBuilder();
    private CompletableFuture<Void> taken = CompletableFuture.completedFuture(null);
    private Refusal refusal;

    @Override
    public void onHead(ResponseHeaders headers) {}

    @Override
    public CompletableFuture<Void> onData(byte[] content) {
      text.append(new String(content, StandardCharsets.UTF_8));
      return taken;
    }

    @Override
    public void onEnd() {
      done.complete(null);
    }

    @Override
    public void onFailed(Refusal failure) {
      refusal = failure;
      done.complete(null);
    }
  }
}
