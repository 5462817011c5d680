package org.carobhoist.server.gateway.ingress;

import static com.google.common.truth.Truth.assertThat;

import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.HttpResponseWriter;
import com.linecorp.armeria.common.HttpStatus;
import com.linecorp.armeria.server.Server;
import com.linecorp.armeria.server.ServiceRequestContext;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against servers that stay at work on requests whose clients have left. */
final class ClientConnectionTest {

  private static final int TIMEOUT_SECONDS = 60;

  private final BlockingQueue<String> events = new LinkedBlockingQueue<>();
  private final Server server =
      Server.builder()
          .http(0)
          .requestTimeoutMillis(0)
          .service("/answered", (ctx, req) -> answer(ctx))
          .service("/open", (ctx, req) -> keepOpen(ctx))
          .build();

  private HttpResponse answer(ServiceRequestContext ctx) {
    ClientConnection.onClosed(ctx, () -> events.add("closed after the answer")).run();
    return HttpResponse.of(HttpStatus.OK);
  }

  private HttpResponse keepOpen(ServiceRequestContext ctx) {
    HttpResponseWriter out = HttpResponse.streaming();
    out.whenComplete().whenComplete((ok, failure) -> events.add("response ended"));
    ClientConnection.onClosed(ctx, () -> events.add("closed"));
    events.add("open");
    return out;
  }

  @BeforeEach
  void start() {
    server.start().join();
  }

  @AfterEach
  void stop() {
    server.stop().join();
  }

  @Test
  void closedConnectionIsReportedBeforeTheLibraryEndsTheResponse() throws Exception {
    try (Socket client = new Socket("127.0.0.1", server.activeLocalPort())) {
      send(client, "/open");
      assertThat(next()).isEqualTo("open");
    }
    assertThat(next()).isEqualTo("closed");
    assertThat(next()).isEqualTo("response ended");
  }

  @Test
  void endedRequestsLeaveNoCallbackAtKeptConnection() throws Exception {
    try (Socket client = new Socket("127.0.0.1", server.activeLocalPort())) {
      send(client, "/answered");
      assertThat(client.getInputStream().read()).isEqualTo('H');
      send(client, "/open");
      assertThat(next()).isEqualTo("open");
    }
    assertThat(next()).isEqualTo("closed");
    assertThat(next()).isEqualTo("response ended");
  }

  private static void send(Socket client, String path) throws IOException {
    String request = "GET " + path + " HTTP/1.1\r\nHost: a.example\r\n\r\n";
    client.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
  }

  private String next() throws InterruptedException {
    return String.valueOf(events.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS));
  }
}
