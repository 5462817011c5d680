package org.carobhoist.standin;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URI;
import java.nio.charset.Charset;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Locale;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.function.IntUnaryOperator;

/**
 * Stand-in for an HTTP/1.1 server that sends its previous response on a connection once more, whole
 * or broken off, right before its response to the next request on that connection.
 */
public final class RepeatingServerStandIn {

  private static final Charset ASCII = StandardCharsets.US_ASCII;

  private final ServerSocket socket;
  private final Function<String, byte[]> responder;
  private final IntUnaryOperator copyLength;
  private final Set<Socket> connections = ConcurrentHashMap.newKeySet();
  private final Semaphore closedConnections = new Semaphore(0);

  private RepeatingServerStandIn(
      ServerSocket socket, Function<String, byte[]> responder, IntUnaryOperator copyLength) {
    this.socket = socket;
    this.responder = responder;
    this.copyLength = copyLength;
  }

  /**
   * Starts a server on a free port.
   *
   * @param responder returns the bytes of the response to a request line
   * @param copyLength returns how many bytes of a response of the given length are sent once more
   */
  public static RepeatingServerStandIn start(
      Function<String, byte[]> responder, IntUnaryOperator copyLength) throws IOException {
    ServerSocket socket = new ServerSocket(0, 0, InetAddress.getLoopbackAddress());
    RepeatingServerStandIn server = new RepeatingServerStandIn(socket, responder, copyLength);
    server.inBackground(server::accept);
    return server;
  }

  /** Returns a response with a body and its length. */
  public static byte[] response(String statusAndHeaders, byte[] body) {
    String head =
        "HTTP/1.1 " + statusAndHeaders + "\r\ncontent-length: " + body.length + "\r\n\r\n";
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    out.writeBytes(head.getBytes(ASCII));
    out.writeBytes(body);
    return out.toByteArray();
  }

  /** Returns a response with a text and its length. */
  public static byte[] response(String statusAndHeaders, String text) {
    return response(statusAndHeaders, text.getBytes(ASCII));
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

  /**
   * Waits until one more connection has been closed by its client.
   *
   * @return whether that happened in time
   */
  public boolean awaitClosedConnection(Duration timeout) throws InterruptedException {
    return closedConnections.tryAcquire(timeout.toMillis(), TimeUnit.MILLISECONDS);
  }

  /** Sends bytes on every open connection, whether or not a request is waiting for a response. */
  public void sendOnEveryConnection(String text) {
    for (Socket connection : connections) {
      try {
        connection.getOutputStream().write(text.getBytes(ASCII));
      } catch (IOException e) {
        throw new UncheckedIOException(e);
      }
    }
  }

  private void accept() {
    while (!socket.isClosed()) {
      try {
        Socket connection = socket.accept();
        connections.add(connection);
        inBackground(() -> serve(connection));
      } catch (IOException e) {
        return;
      }
    }
  }

  private void serve(Socket connection) {
    byte[] previous = {};
    try (connection) {
      InputStream in = new BufferedInputStream(connection.getInputStream());
      while (true) {
        byte[] response = responder.apply(readRequest(in));
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        out.write(previous, 0, previous.length == 0 ? 0 : copyLength.applyAsInt(previous.length));
        out.writeBytes(response);
        previous = response;
        connection.getOutputStream().write(out.toByteArray());
      }
    } catch (IOException e) {
      // The client closed the connection.
    } finally {
      connections.remove(connection);
      closedConnections.release();
    }
  }

  /** Reads a request and returns its request line. */
  private static String readRequest(InputStream in) throws IOException {
    String requestLine = readLine(in);
    int length = 0;
    for (String line = readLine(in); !line.isEmpty(); line = readLine(in)) {
      if (line.toLowerCase(Locale.ROOT).startsWith("content-length:")) {
        length = Integer.parseInt(line.substring(line.indexOf(':') + 1).strip());
      }
    }
    in.readNBytes(length);
    return requestLine;
  }

  private static String readLine(InputStream in) throws IOException {
    StringBuilder line = new StringBuilder();
    for (int c = in.read(); c != '\n'; c = in.read()) {
      if (c < 0) {
        throw new IOException("the client closed the connection");
      }
      line.append((char) c);
    }
    return line.toString().strip();
  }

  private void inBackground(Runnable task) {
    Thread thread = new Thread(task, "repeating-server");
    thread.setDaemon(true);
    thread.start();
  }
}
