package org.carobhoist.standin;

import java.io.IOException;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;

/**
 * Stand-in for a server whose response has no end. It writes to the socket directly and stops when
 * the client closes the connection, when it is stopped, or after a maximum number of bytes.
 */
public final class EndlessServerStandIn {

  /** Which part of the response has no end. */
  public enum Part {
    /** The header section. */
    HEAD("HTTP/1.1 200 OK\r\n", "x-filler: more\r\n"),
    /** A single header. */
    HEADER("HTTP/1.1 200 OK\r\nx-filler: ", "more and more "),
    /** Informational responses before the response. */
    INFORMATIONAL_RESPONSES("", "HTTP/1.1 102 Processing\r\n\r\n"),
    /** A body without a content length. */
    BODY("HTTP/1.1 200 OK\r\n\r\n", "more and more "),
    /** The chunks of a body. */
    CHUNKS("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n", "10\r\nmore and more an\r\n"),
    /** The extension of a chunk. */
    CHUNK_EXTENSION("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4;", "x=yyyyyyyy;"),
    /** The trailer section. */
    TRAILERS(
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\nabcd\r\n0\r\n",
        "x-filler: more\r\n"),
    /** An event of an event stream. */
    EVENT("HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\r\ndata: ", "more and more "),
    /** The events of an event stream. */
    EVENTS("HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\r\n", "data: more\n\n");

    private final String begin;
    private final String filler;

    Part(String begin, String filler) {
      this.begin = begin;
      this.filler = filler;
    }
  }

  private static final int FILLERS_PER_WRITE = 1_024;

  private final ServerSocket socket;
  private final Part part;
  private final long maxBytes;
  private final CompletableFuture<Boolean> closedByClient = new CompletableFuture<>();
  private volatile long sentBytes;

  private EndlessServerStandIn(ServerSocket socket, Part part, long maxBytes) {
    this.socket = socket;
    this.part = part;
    this.maxBytes = maxBytes;
  }

  /**
   * Starts a server on a free port. It responds to one request.
   *
   * @param maxBytes number of bytes after which the server closes the connection itself
   */
  public static EndlessServerStandIn start(Part part, long maxBytes) throws IOException {
    ServerSocket socket = new ServerSocket(0, 0, InetAddress.getLoopbackAddress());
    EndlessServerStandIn server = new EndlessServerStandIn(socket, part, maxBytes);
    Thread thread = new Thread(server::serve, "endless-" + part);
    thread.setDaemon(true);
    thread.start();
    return server;
  }

  /** Stops the server. */
  public void stop() {
    try {
      socket.close();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** Returns the base URL. */
  public URI uri() {
    return URI.create("http://127.0.0.1:" + socket.getLocalPort());
  }

  /** Returns the number of bytes sent. */
  public long sentBytes() {
    return sentBytes;
  }

  /** Completes when the response has ended, with whether the client closed the connection. */
  public CompletableFuture<Boolean> closedByClient() {
    return closedByClient;
  }

  private void serve() {
    try (Socket connection = socket.accept()) {
      connection.getInputStream().read();
      sendEndlessly(connection.getOutputStream());
      closedByClient.complete(false);
    } catch (IOException e) {
      closedByClient.complete(true);
    }
  }

  private void sendEndlessly(OutputStream out) throws IOException {
    out.write(part.begin.getBytes(StandardCharsets.US_ASCII));
    byte[] block = part.filler.repeat(FILLERS_PER_WRITE).getBytes(StandardCharsets.US_ASCII);
    while (sentBytes < maxBytes && !socket.isClosed()) {
      out.write(block);
      sentBytes += block.length;
    }
  }
}
