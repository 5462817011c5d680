import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** HTTP/1.1 over plain sockets, as far as the stand-ins and the clients of the cases need it. */
final class Wire {

  private Wire() {}

  /** A request or response; header names are in lower case. */
  record Message(String first, Map<String, String> headers, byte[] body) {

    String method() {
      return first.split(" ")[0];
    }

    String target() {
      return first.split(" ")[1];
    }

    String path() {
      return target().split("\\?")[0];
    }

    int status() {
      return Integer.parseInt(first.split(" ")[1]);
    }

    String header(String name) {
      return headers.getOrDefault(name, "");
    }

    String text() {
      return new String(body, StandardCharsets.UTF_8);
    }

    /** Returns a parameter of the query, or an empty string. */
    String query(String name) {
      int begin = target().indexOf('?');
      if (begin < 0) {
        return "";
      }
      for (String pair : target().substring(begin + 1).split("&")) {
        if (pair.startsWith(name + "=")) {
          return java.net.URLDecoder.decode(
              pair.substring(name.length() + 1), StandardCharsets.UTF_8);
        }
      }
      return "";
    }
  }

  /** Handles the requests of one connection, one at a time; false ends the connection. */
  interface Handler {
    boolean handle(Message request, Socket socket) throws IOException;
  }

  /** Serves connections on a free loopback port until the process ends. */
  static int serve(Handler handler) throws IOException {
    ServerSocket server = new ServerSocket();
    server.setReuseAddress(true);
    server.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 256);
    thread(
        () -> {
          while (true) {
            Socket socket = server.accept();
            socket.setTcpNoDelay(true);
            thread(() -> serveConnection(socket, handler));
          }
        });
    return server.getLocalPort();
  }

  private static void serveConnection(Socket socket, Handler handler) throws IOException {
    try (socket) {
      InputStream in = new java.io.BufferedInputStream(socket.getInputStream());
      for (Message m = read(in, false); m != null; m = read(in, false)) {
        if (!handler.handle(m, socket)) {
          return;
        }
      }
    } catch (IOException e) {
      // The peer has closed or reset the connection.
    }
  }

  /** A task that may fail. */
  interface Task {
    void run() throws Exception;
  }

  /** Runs a task in a thread of its own that doesn't keep the process alive. */
  static Thread thread(Task task) {
    Thread t =
        new Thread(
            () -> {
              try {
                task.run();
              } catch (IOException | InterruptedException e) {
                // The connection has ended, or the case has.
              } catch (Exception e) {
                e.printStackTrace();
              }
            });
    t.setDaemon(true);
    t.start();
    return t;
  }

  static void sleep(long millis) {
    try {
      Thread.sleep(millis);
    } catch (InterruptedException e) {
      throw new IllegalStateException(e);
    }
  }

  /** Sends one request on a new connection and reads its response. */
  static Message call(
      int port, String method, String target, Map<String, String> headers, byte[] body, int millis)
      throws IOException {
    try (Socket socket = new Socket()) {
      socket.connect(new InetSocketAddress("127.0.0.1", port), millis);
      socket.setSoTimeout(millis);
      socket.setTcpNoDelay(true);
      write(socket.getOutputStream(), method + " " + target + " HTTP/1.1", headers, body);
      return read(new java.io.BufferedInputStream(socket.getInputStream()), true);
    }
  }

  /** Writes a request or response with its length. */
  static void write(OutputStream out, String first, Map<String, String> headers, byte[] body)
      throws IOException {
    StringBuilder head = new StringBuilder(first).append("\r\n");
    headers.forEach((k, v) -> head.append(k).append(": ").append(v).append("\r\n"));
    head.append("Content-Length: ").append(body.length).append("\r\n\r\n");
    ByteArrayOutputStream all = new ByteArrayOutputStream();
    all.writeBytes(head.toString().getBytes(StandardCharsets.ISO_8859_1));
    all.writeBytes(body);
    out.write(all.toByteArray());
    out.flush();
  }

  static void answer(Socket socket, int status, Map<String, String> headers, byte[] body)
      throws IOException {
    write(socket.getOutputStream(), "HTTP/1.1 " + status + " Status", headers, body);
  }

  static void answer(Socket socket, int status, String json) throws IOException {
    answer(
        socket,
        status,
        Map.of("Content-Type", "application/json"),
        json.getBytes(StandardCharsets.UTF_8));
  }

  /** Reads a message; null if the connection ends before its first byte. */
  static Message read(InputStream in, boolean response) throws IOException {
    String first = line(in);
    if (first == null) {
      if (response) {
        throw new EOFException("closed without an answer");
      }
      return null;
    }
    Map<String, String> headers = new LinkedHashMap<>();
    for (String l = line(in); l != null && !l.isEmpty(); l = line(in)) {
      int colon = l.indexOf(':');
      if (colon < 0) {
        throw new IOException("not a header: " + l);
      }
      headers.put(l.substring(0, colon).toLowerCase(Locale.ROOT), l.substring(colon + 1).strip());
    }
    return new Message(first, headers, body(in, headers, response));
  }

  private static byte[] body(InputStream in, Map<String, String> headers, boolean response)
      throws IOException {
    if (headers.getOrDefault("transfer-encoding", "").equalsIgnoreCase("chunked")) {
      ByteArrayOutputStream out = new ByteArrayOutputStream();
      while (true) {
        String size = line(in);
        if (size == null) {
          throw new EOFException("closed within a chunked body");
        }
        int length = Integer.parseInt(size.split(";")[0].strip(), 16);
        out.writeBytes(exactly(in, length));
        line(in);
        if (length == 0) {
          return out.toByteArray();
        }
      }
    }
    String length = headers.get("content-length");
    if (length != null) {
      return exactly(in, Integer.parseInt(length));
    }
    return response ? in.readAllBytes() : new byte[0];
  }

  private static byte[] exactly(InputStream in, int length) throws IOException {
    byte[] bytes = in.readNBytes(length);
    if (bytes.length < length) {
      throw new EOFException("closed within a body");
    }
    return bytes;
  }

  private static String line(InputStream in) throws IOException {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    for (int b = in.read(); b >= 0; b = in.read()) {
      if (b == '\n') {
        String text = out.toString(StandardCharsets.ISO_8859_1);
        return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
      }
      out.write(b);
    }
    return out.size() == 0 ? null : out.toString(StandardCharsets.ISO_8859_1);
  }
}
