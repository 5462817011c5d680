package org.carobhoist.standin;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.Charset;
import java.nio.charset.StandardCharsets;
import java.util.Collections;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Stand-in for a server of the users' platform whose HTTP/1.1 responses are malformed or endless in
 * ways that no HTTP library would produce. It writes to the socket directly and echoes request
 * bodies. Health checks of a sidecar are answered well.
 */
public final class MisbehavingServerStandIn {

  /** What is wrong with the responses. */
  public enum Misbehavior {
    /** Sends a second response to the same request on the connection. */
    SECOND_ANSWER,
    /** Sends no content length and ends the body by closing the connection. */
    NO_LENGTH,
    /** Sends no content length and resets the connection in the middle of the body. */
    NO_LENGTH_AND_RESET,
    /** Sends a second response to the previous request once the next request is read. */
    LATE_SECOND_ANSWER,
    /** Sends a second response once a request with the same id is read on the connection. */
    SECOND_ANSWER_BEFORE_SAME_ID,
    /** Like {@link #LATE_SECOND_ANSWER}; the first request with an id fails with status 500. */
    LATE_SECOND_FAILURE,
    /**
     * Like {@link #LATE_SECOND_ANSWER}, but the second response is broken off within its head, each
     * one byte later than the one before. Requests whose body begins with "fail" fail with 500.
     */
    CUT_LATE_SECOND_ANSWER,
    /** Sends the response set last; see {@link MalformedResponse}. */
    MALFORMED,
    /** Breaks off the body, then sends the whole response on the same connection. */
    SECOND_ANSWER_IN_BODY,
    /** Closes the connection in the middle of the header section. */
    CUT_HEAD,
    /** Resets the connection in the middle of the header section. */
    RESET_HEAD,
    /** Closes the connection after the last header, before the blank line. */
    CUT_BEFORE_BLANK_LINE,
    /** Closes the connection in the middle of the second event of a stream without a length. */
    CUT_EVENT,
    /** Closes the connection in the middle of the second event of a chunked stream. */
    CUT_CHUNK,
    /** The header section never ends. */
    ENDLESS_HEAD,
    /** Sends blank lines forever where the status line belongs. */
    ENDLESS_BLANKS,
    /** The body has no content length and never ends. */
    ENDLESS_BODY,
    /** The chunk extension never ends. */
    ENDLESS_CHUNK_EXTENSION,
    /** The trailer section never ends. */
    ENDLESS_TRAILER,
    /** Sends the header section, then single bytes of the body at intervals. */
    TRICKLE
  }

  private static final int FILLERS_PER_WRITE = 256;
  private static final long TRICKLE_MILLIS = 100;

  private static final Charset ASCII = StandardCharsets.US_ASCII;
  private static final String EVENT_STREAM =
      "content-type: text/event-stream\r\ncarobhoist-weight-versions: 1\r\n";
  private static final String FIRST_EVENT = "id: 1\ndata: first\n\n";
  private static final String HALF_EVENT = "id: 2\ndata: sec";

  /** Key of the request line among the headers. */
  private static final String REQUEST_LINE = "";

  private static final String REQUEST_ID = "carobhoist-request-id";

  private final String instance;
  private final Misbehavior misbehavior;
  private final ServerSocket socket;
  private final Queue<String> runs = new ConcurrentLinkedQueue<>();
  private final AtomicInteger openConnections = new AtomicInteger();
  private final AtomicInteger cuts = new AtomicInteger();
  private final AtomicLong fillerBytes = new AtomicLong();
  private volatile MalformedResponse malformedResponse = MalformedResponse.BLANK_IN_NAME;
  private final Map<Socket, byte[]> pendingResponses = new ConcurrentHashMap<>();
  private final Map<Socket, Map<String, byte[]>> pendingResponsesById = new ConcurrentHashMap<>();

  private MisbehavingServerStandIn(String instance, Misbehavior misbehavior, ServerSocket socket) {
    this.instance = instance;
    this.misbehavior = misbehavior;
    this.socket = socket;
  }

  /** Starts a server on a free port. */
  public static MisbehavingServerStandIn start(String instance, Misbehavior misbehavior)
      throws IOException {
    ServerSocket socket = new ServerSocket(0, 0, InetAddress.getLoopbackAddress());
    MisbehavingServerStandIn server = new MisbehavingServerStandIn(instance, misbehavior, socket);
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

  /** Sets the response of a server whose misbehavior is {@link Misbehavior#MALFORMED}. */
  public void setMalformedResponse(MalformedResponse response) {
    malformedResponse = response;
  }

  /** Returns the address as {@code host:port}. */
  public String address() {
    return "127.0.0.1:" + socket.getLocalPort();
  }

  /** Returns the ids of all requests received, oldest first. */
  public Queue<String> runs() {
    return runs;
  }

  /** Returns the number of filler bytes sent in endless responses. */
  public long fillerBytes() {
    return fillerBytes.get();
  }

  /** Returns whether all connections are closed. */
  public boolean isIdle() {
    return openConnections.get() == 0;
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
    openConnections.incrementAndGet();
    try (connection) {
      InputStream in = new BufferedInputStream(connection.getInputStream());
      while (respond(in, connection)) {
        connection.getOutputStream().flush();
      }
    } catch (IOException e) {
      // The client closed the connection; it opens a new one for its next request.
    } finally {
      openConnections.decrementAndGet();
    }
  }

  /** Responds to one request; returns whether the connection stays open. */
  private boolean respond(InputStream in, Socket connection) throws IOException {
    Map<String, String> headers = readHead(in);
    byte[] body = in.readNBytes(Integer.parseInt(headers.getOrDefault("content-length", "0")));
    String id = headers.getOrDefault(REQUEST_ID, "");
    OutputStream out = connection.getOutputStream();
    if (headers.get(REQUEST_LINE).startsWith("GET /load ")) {
      out.write(responseWithLength(id, "{}".getBytes(ASCII)));
      return true;
    }
    runs.add(id);
    return switch (misbehavior) {
      case SECOND_ANSWER -> {
        out.write(responseWithLength(id, body));
        out.write(responseWithLength(id, body));
        yield true;
      }
      case LATE_SECOND_ANSWER -> {
        out.write(pendingResponses.getOrDefault(connection, new byte[0]));
        pendingResponses.put(connection, responseWithLength(id, body));
        out.write(responseWithLength(id, body));
        yield true;
      }
      case SECOND_ANSWER_BEFORE_SAME_ID -> {
        byte[] response = responseWithLength(id, body);
        byte[] previous =
            pendingResponsesById
                .computeIfAbsent(connection, key -> new HashMap<>())
                .put(id, response);
        if (previous != null) {
          out.write(previous);
        }
        out.write(response);
        yield true;
      }
      case LATE_SECOND_FAILURE -> {
        out.write(pendingResponses.getOrDefault(connection, new byte[0]));
        int status = Collections.frequency(runs, id) == 1 ? 500 : 200;
        byte[] response = responseWithLength(status, id, body);
        pendingResponses.put(connection, response);
        out.write(response);
        yield true;
      }
      case CUT_LATE_SECOND_ANSWER -> {
        byte[] pending = pendingResponses.getOrDefault(connection, new byte[0]);
        out.write(
            pending, 0, pending.length == 0 ? 0 : 1 + cuts.getAndIncrement() % pending.length);
        int status = text(body).startsWith("fail") ? 500 : 200;
        pendingResponses.put(connection, head(status, id, "content-length: 0\r\n"));
        out.write(responseWithLength(status, id, body));
        yield true;
      }
      case MALFORMED -> {
        out.write(malformedResponse.bytes(id, "stamp-of-" + instance));
        yield true;
      }
      case SECOND_ANSWER_IN_BODY -> {
        byte[] response = responseWithLength(id, body);
        out.write(response, 0, response.length - body.length / 2);
        out.write(response);
        yield true;
      }
      case CUT_HEAD -> {
        out.write((text(head(id, "")).stripTrailing() + "\r\ncontent-len").getBytes(ASCII));
        yield false;
      }
      case RESET_HEAD -> {
        out.write((text(head(id, "")).stripTrailing() + "\r\ncontent-len").getBytes(ASCII));
        out.flush();
        connection.setSoLinger(true, 0);
        yield false;
      }
      case CUT_BEFORE_BLANK_LINE -> {
        out.write((text(head(id, "")).stripTrailing() + "\r\n").getBytes(ASCII));
        yield false;
      }
      case CUT_EVENT -> {
        out.write(head(id, EVENT_STREAM));
        out.write((FIRST_EVENT + HALF_EVENT).getBytes(ASCII));
        yield false;
      }
      case CUT_CHUNK -> {
        out.write(head(id, EVENT_STREAM + "transfer-encoding: chunked\r\n"));
        String chunk = Integer.toHexString(FIRST_EVENT.length()) + "\r\n" + FIRST_EVENT + "\r\n";
        out.write((chunk + "40\r\n" + HALF_EVENT).getBytes(ASCII));
        yield false;
      }
      case ENDLESS_HEAD -> sendEndlessly(out, "HTTP/1.1 200 OK\r\n", "x-filler: more\r\n");
      case ENDLESS_BLANKS -> sendEndlessly(out, "", "\r\n\r\n\r\n\r\n");
      case ENDLESS_BODY -> sendEndlessly(out, text(head(id, "")), "more and more ");
      case ENDLESS_CHUNK_EXTENSION ->
          sendEndlessly(
              out, text(head(id, "transfer-encoding: chunked\r\n")) + "4;", "x=yyyyyyyy;");
      case ENDLESS_TRAILER ->
          sendEndlessly(
              out,
              text(head(id, "transfer-encoding: chunked\r\n")) + "4\r\nabcd\r\n0\r\n",
              "x-filler: more\r\n");
      case TRICKLE -> sendSlowly(out, head(id, "content-length: 1000000\r\n"));
      case NO_LENGTH -> {
        out.write(head(id, ""));
        out.write(body);
        yield false;
      }
      case NO_LENGTH_AND_RESET -> {
        out.write(head(id, ""));
        out.write(body, 0, body.length / 2);
        out.flush();
        connection.setSoLinger(true, 0);
        yield false;
      }
    };
  }

  /** Sends filler until a write fails because the client has closed the connection. */
  private boolean sendEndlessly(OutputStream out, String begin, String filler) throws IOException {
    out.write(begin.getBytes(ASCII));
    byte[] block = filler.repeat(FILLERS_PER_WRITE).getBytes(ASCII);
    while (true) {
      out.write(block);
      fillerBytes.addAndGet(block.length);
    }
  }

  private static boolean sendSlowly(OutputStream out, byte[] head) throws IOException {
    out.write(head);
    while (true) {
      out.write('x');
      out.flush();
      try {
        Thread.sleep(TRICKLE_MILLIS);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
        return false;
      }
    }
  }

  private static String text(byte[] bytes) {
    return new String(bytes, ASCII);
  }

  private byte[] responseWithLength(String id, byte[] body) {
    return responseWithLength(200, id, body);
  }

  private byte[] responseWithLength(int status, String id, byte[] body) {
    byte[] head = head(status, id, "content-length: " + body.length + "\r\n");
    byte[] all = new byte[head.length + body.length];
    System.arraycopy(head, 0, all, 0, head.length);
    System.arraycopy(body, 0, all, head.length, body.length);
    return all;
  }

  private byte[] head(String id, String framing) {
    return head(200, id, framing);
  }

  private byte[] head(int status, String id, String framing) {
    String head =
        "HTTP/1.1 "
            + status
            + " Status\r\n"
            + REQUEST_ID
            + ": "
            + id
            + "\r\ncarobhoist-server-stamp: stamp-of-"
            + instance
            + "\r\n"
            + framing
            + "\r\n";
    return head.getBytes(ASCII);
  }

  private static Map<String, String> readHead(InputStream in) throws IOException {
    Map<String, String> headers = new HashMap<>();
    String line = readLine(in);
    headers.put(REQUEST_LINE, line);
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
        throw new IOException("the client closed the connection");
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
