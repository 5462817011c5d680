package review;

import java.io.BufferedInputStream;
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
import java.util.Map;

/** A small HTTP/1.1 server and client on loopback sockets, one thread for each channel. */
final class Http {

  private Http() {}

  /** A message as read: the first line, the headers with lower-case names, and the body. */
  record Message(String line, Map<String, String> headers, byte[] body) {

    String method() {
      return line.split(" ")[0];
    }

    String target() {
      return line.split(" ")[1];
    }

    int status() {
      return Integer.parseInt(line.split(" ")[1]);
    }

    String header(String name) {
      return headers.getOrDefault(name, "");
    }

    String text() {
      return new String(body, StandardCharsets.UTF_8);
    }

    /** Returns a parameter of the query, or the fallback. */
    String query(String name, String fallback) {
      int mark = target().indexOf('?');
      if (mark >= 0) {
        for (String p : target().substring(mark + 1).split("&")) {
          if (p.startsWith(name + "=")) {
            return java.net.URLDecoder.decode(
                p.substring(name.length() + 1), StandardCharsets.UTF_8);
          }
        }
      }
      return fallback;
    }
  }

  /** Answers one request by writing to the channel. Throwing an exception closes the channel. */
  interface Handler {
    void handle(Message request, Channel channel) throws Exception;
  }

  /** A channel with buffered input. */
  static final class Channel implements AutoCloseable {
    final Socket socket;
    final InputStream in;
    final OutputStream out;

    Channel(Socket socket) throws IOException {
      this.socket = socket;
      socket.setTcpNoDelay(true);
      this.in = new BufferedInputStream(socket.getInputStream(), 1 << 16);
      this.out = socket.getOutputStream();
    }

    static Channel open(int port) throws IOException {
      Socket socket = new Socket();
      socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), 1000);
      return new Channel(socket);
    }

    void write(String head, byte[] body) throws IOException {
      ByteArrayOutputStream all = new ByteArrayOutputStream();
      all.writeBytes(head.getBytes(StandardCharsets.ISO_8859_1));
      all.writeBytes(body);
      out.write(all.toByteArray());
      out.flush();
    }

    void answer(int status, String headers, byte[] body) throws IOException {
      write("HTTP/1.1 " + status + " X\r\n" + headers + "Content-Length: " + body.length
          + "\r\n\r\n", body);
    }

    void chunk(String text) throws IOException {
      byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
      write(Integer.toHexString(bytes.length) + "\r\n" + text + "\r\n", new byte[0]);
    }

    void timeout(int millis) {
      try {
        socket.setSoTimeout(millis);
      } catch (java.net.SocketException e) {
        // The channel is closed; the next call on it says so.
      }
    }

    /** Closes the channel with a reset. */
    void reset() throws IOException {
      socket.setSoLinger(true, 0);
      socket.close();
    }

    @Override
    public void close() throws IOException {
      socket.close();
    }
  }

  /** Starts a server on a free loopback port and returns the port. */
  static int serve(String name, Handler handler) throws IOException {
    ServerSocket server = new ServerSocket(0, 200, InetAddress.getLoopbackAddress());
    daemon(name, () -> {
      while (true) {
        Socket socket = server.accept();
        daemon(name + "-channel", () -> {
          try (Channel channel = new Channel(socket)) {
            while (true) {
              Message request = read(channel.in);
              if (request == null) {
                return;
              }
              handler.handle(request, channel);
            }
          }
        });
      }
    });
    return server.getLocalPort();
  }

  /** A task that may throw. */
  interface Task {
    void run() throws Exception;
  }

  static Thread daemon(String name, Task task) {
    Thread t = new Thread(null, () -> {
      try {
        task.run();
      } catch (Exception e) {
        // The channel is closed; what was seen on it is in the record.
      }
    }, name, 256 * 1024);
    t.setDaemon(true);
    t.start();
    return t;
  }

  /** Reads a message; returns null at the end of the channel before its first byte. */
  static Message read(InputStream in) throws IOException {
    String line = line(in);
    while (line != null && line.isEmpty()) {
      line = line(in);
    }
    if (line == null) {
      return null;
    }
    Map<String, String> headers = new LinkedHashMap<>();
    for (String h = line(in); !h.isEmpty(); h = line(in)) {
      int colon = h.indexOf(':');
      headers.put(h.substring(0, colon).toLowerCase(), h.substring(colon + 1).strip());
    }
    if (line.startsWith("HTTP/1.1 1")) {
      return read(in);
    }
    ByteArrayOutputStream body = new ByteArrayOutputStream();
    if (headers.getOrDefault("transfer-encoding", "").equalsIgnoreCase("chunked")) {
      while (true) {
        int length = Integer.parseInt(line(in).split(";")[0].strip(), 16);
        if (length == 0) {
          while (!line(in).isEmpty()) {}
          break;
        }
        body.writeBytes(exactly(in, length));
        line(in);
      }
    } else if (headers.containsKey("content-length")) {
      body.writeBytes(exactly(in, Integer.parseInt(headers.get("content-length"))));
    }
    return new Message(line, headers, body.toByteArray());
  }

  private static byte[] exactly(InputStream in, int length) throws IOException {
    byte[] bytes = in.readNBytes(length);
    if (bytes.length < length) {
      throw new EOFException("the body ends early");
    }
    return bytes;
  }

  /** Reads a line without its end; returns null at the end of the channel. */
  private static String line(InputStream in) throws IOException {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    while (true) {
      int b = in.read();
      if (b < 0) {
        if (out.size() > 0) {
          throw new EOFException("a line ends early");
        }
        return null;
      }
      if (b == '\n') {
        String text = out.toString(StandardCharsets.ISO_8859_1);
        return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
      }
      out.write(b);
    }
  }
}
