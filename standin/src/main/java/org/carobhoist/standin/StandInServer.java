package org.carobhoist.standin;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.HttpStatus;
import com.linecorp.armeria.common.MediaType;
import com.linecorp.armeria.server.Server;
import com.linecorp.armeria.server.ServerBuilder;
import java.net.InetSocketAddress;
import java.net.URI;
import java.util.function.Consumer;

/** HTTP server on a loopback port on which the stand-ins are built. */
final class StandInServer {

  private static final int MAX_HEADER_BYTES = 65_536;

  static final ObjectMapper JSON = new ObjectMapper();

  private final Consumer<ServerBuilder> routes;
  private Server server;
  private int port;

  StandInServer(Consumer<ServerBuilder> routes) {
    this.routes = routes;
  }

  /** Starts on the port of the previous start, or on a free port the first time. */
  void start() {
    ServerBuilder sb = Server.builder();
    sb.http(new InetSocketAddress("127.0.0.1", port));
    sb.requestTimeoutMillis(0);
    sb.maxRequestLength(0);
    sb.http1MaxInitialLineLength(MAX_HEADER_BYTES);
    sb.http1MaxHeaderSize(MAX_HEADER_BYTES);
    sb.gracefulShutdownTimeoutMillis(0, 0);
    routes.accept(sb);
    server = sb.build();
    server.start().join();
    port = server.activeLocalPort();
  }

  /** Stops at once and aborts the requests in flight. */
  void stop() {
    server.stop().join();
  }

  URI uri() {
    return URI.create("http://127.0.0.1:" + port);
  }

  static HttpResponse json(Object value) {
    try {
      return HttpResponse.of(HttpStatus.OK, MediaType.JSON, JSON.writeValueAsString(value));
    } catch (JsonProcessingException e) {
      throw new IllegalStateException(e);
    }
  }
}
