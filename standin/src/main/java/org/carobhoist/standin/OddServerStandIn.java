package org.carobhoist.standin;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;

/**
 * Stands in for a plain server of the users' platform whose answers are odd on the wire in ways
 * that no HTTP library would write. It echoes bodies.
 */
public final class OddServerStandIn {

  /** What is odd about the answers. */
  public enum Oddity {
    /** A second answer to the same request follows on the connection. */
    SECOND_ANSWER,
    /** The answer has no length and ends with its connection. */
    NO_LENGTH,
    /** As without a length, but the connection is reset in the middle of the body. */
    NO_LENGTH_AND_RESET
  }

  private static final String REQUEST_ID = "carobhoist-request-id";

  private final String instance;
  private final Oddity oddity;
  private final ServerSocket socket;
  private final Queue<String> runs = new ConcurrentLinkedQueue<>();

  private OddServerStandIn(String instance, Oddity oddity, ServerSocket socket) {
    this.instance = instance;
    this.oddity = oddity;
    this.socket = socket;
  }

  /** Starts a server on a free port. */
  public static OddServerStandIn start(String instance, Oddity oddity) throws IOException {
    ServerSocket socket = new ServerSocket(0, 0, InetAddress.getLoopbackAddress());
    OddServerStandIn server = new OddServerStandIn(instance, oddity, socket);
    server.inBackground(server::accept);
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

  /** Returns host and port. */
  public String address() {
    return "127.0.0.1:" + socket.getLocalPort();
  }

  /** Returns the ids of the requests that ran. */
  public Queue<String> runs() {
    return runs;
  }

  private void accept() {
    while (!socket.isClosed()) {
      try {
        Socket connection = socket.accept();
        inBackground(() -> serve(connection));
      } catch (IOException e) {
        return;
      }
    }
  }

  private void serve(Socket connection) {
    try (connection) {
      InputStream in = new BufferedInputStream(connection.getInputStream());
      while (answer(in, connection)) {
        connection.getOutputStream().flush();
      }
    } catch (IOException e) {
      // The caller has closed the connection; another one brings its next request.
    }
  }

  /** Answers one request; returns whether the connection goes on. */
  private boolean answer(InputStream in, Socket connection) throws IOException {
    Map<String, String> headers = readHead(in);
    byte[] body = in.readNBytes(Integer.parseInt(headers.getOrDefault("content-length", "0")));
    String id = headers.getOrDefault(REQUEST_ID, "");
    runs.add(id);
    OutputStream out = connection.getOutputStream();
    switch (oddity) {
      case SECOND_ANSWER -> {
        out.write(framed(id, body));
        out.write(framed(id, body));
        return true;
      }
      case NO_LENGTH -> {
        out.write(head(id, ""));
        out.write(body);
        return false;
      }
      default -> {
        out.write(head(id, ""));
        out.write(body, 0, body.length / 2);
        out.flush();
        connection.setSoLinger(true, 0);
        return false;
      }
    }
  }

  private byte[] framed(String id, byte[] body) {
    byte[] head = head(id, "content-length: " + body.length + "\r\n");
    byte[] all = new byte[head.length + body.length];
    System.arraycopy(head, 0, all, 0, head.length);
    System.arraycopy(body, 0, all, head.length, body.length);
    return all;
  }

  private byte[] head(String id, String framing) {
    String head =
        "HTTP/1.1 200 OK\r\n"
            + REQUEST_ID
            + ": "
            + id
            + "\r\ncarobhoist-server-stamp: stamp-of-"
            + instance
            + "\r\n"
            + framing
            + "\r\n";
    return head.getBytes(StandardCharsets.US_ASCII);
  }

  private static Map<String, String> readHead(InputStream in) throws IOException {
    Map<String, String> headers = new HashMap<>();
    String line = readLine(in);
    while (!line.isEmpty()) {
      int colon = line.indexOf(':');
      if (colon > 0) {
        String name = line.substring(0, colon).toLowerCase(Locale.ROOT);
        headers.put(name, line.substring(colon + 1).strip());
      }
      line = readLine(in);
    }
    return headers;
  }

  private static String readLine(InputStream in) throws IOException {
    StringBuilder sb = new StringBuilder();
    for (int c = in.read(); c != '\n'; c = in.read()) {
      if (c < 0) {
        throw new IOException("the caller closed the connection");
      }
      sb.append((char) c);
    }
    return sb.toString().strip();
  }

  private void inBackground(Runnable task) {
    Thread thread = new Thread(task, instance);
    thread.setDaemon(true);
    thread.start();
  }
}
