package org.carobhoist.server.gateway.ingress;

import static com.google.common.truth.Truth.assertThat;

import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.server.Server;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import org.carobhoist.platform.CallHeaders;
import org.junit.jupiter.api.Test;

/** Guards against a valid key that is lost because a Connection header names its header. */
final class ConnectionOptionHandlerTest {

  private static String responseTo(int port, String... headers) throws IOException {
    String request =
        "GET / HTTP/1.1\r\nHost: a.example\r\n" + String.join("\r\n", headers) + "\r\n\r\n";
    try (Socket socket = new Socket("127.0.0.1", port)) {
      socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
      return new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
    }
  }

  @Test
  void keysOfHopByHopHeadersAreRead() throws IOException {
    Server server =
        Server.builder()
            .childChannelPipelineCustomizer(ConnectionOptionHandler::addTo)
            .service(
                "/",
                (ctx, req) -> HttpResponse.of(CallHeaders.credentials(req.headers()).toString()))
            .build();
    server.start().join();
    try {
      int port = server.activeLocalPort();
      String key = "Authorization: Bearer k1";
      assertThat(responseTo(port, key, "Connection: close")).contains("Key[");
      assertThat(responseTo(port, key, "Connection: close, Authorization")).contains("Key[");
      assertThat(responseTo(port, "Connection: close, Authorization")).contains("Missing[");
    } finally {
      server.stop().join();
    }
  }
}
