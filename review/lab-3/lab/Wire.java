package lab;

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/** A client of the platform: each call on a new channel, as callers of batch jobs do. */
final class Wire {

  /** An answer; status 0 stands for none. */
  record Answer(int status, Map<String, String> headers, byte[] body) {
    String text() {
      return new String(body, StandardCharsets.UTF_8);
    }
  }

  static final Answer NONE = new Answer(0, Map.of(), new byte[0]);

  private Wire() {}

  static Answer call(int port, String method, String target, String host, String headers,
      byte[] body, int timeoutMillis) {
    try (Socket s = new Socket()) {
      s.connect(new InetSocketAddress("127.0.0.1", port), 1_000);
      s.setSoTimeout(timeoutMillis);
      s.setTcpNoDelay(true);
      String head =
          method + " " + target + " HTTP/1.1\r\nHost: " + host + "\r\n" + headers
              + (body.length > 0 || method.equals("POST")
                  ? "Content-Length: " + body.length + "\r\n" : "")
              + "\r\n";
      ByteArrayOutputStream out = new ByteArrayOutputStream();
      out.writeBytes(head.getBytes(StandardCharsets.ISO_8859_1));
      out.writeBytes(body);
      s.getOutputStream().write(out.toByteArray());
      s.getOutputStream().flush();
      return read(s.getInputStream(), method);
    } catch (IOException e) {
      return NONE;
    }
  }

  /** Submits a batch job. */
  static Answer submit(int port, String id, String job) {
    return call(port, "POST", "/lot/" + id, "jobs.example",
        "Carobhoist-Request-Id: " + id
            + "\r\nCarobhoist-Deadline-Ms: 5000\r\nContent-Type: application/json\r\n",
        job.getBytes(StandardCharsets.UTF_8), 5_000);
  }

  private static Answer read(InputStream in, String method) throws IOException {
    String first = line(in);
    int status = Integer.parseInt(first.split(" ")[1]);
    Map<String, String> headers = new TreeMap<>();
    for (String l = line(in); !l.isEmpty(); l = line(in)) {
      int colon = l.indexOf(':');
      headers.put(l.substring(0, colon).toLowerCase(Locale.ROOT), l.substring(colon + 1).strip());
    }
    if (status < 200) {
      return read(in, method);
    }
    ByteArrayOutputStream body = new ByteArrayOutputStream();
    if (method.equals("HEAD") || status == 204 || status == 304) {
      return new Answer(status, headers, new byte[0]);
    }
    if ("chunked".equals(headers.get("transfer-encoding"))) {
      for (int n = Integer.parseInt(line(in), 16); n > 0; n = Integer.parseInt(line(in), 16)) {
        body.writeBytes(exactly(in, n));
        line(in);
      }
    } else if (headers.containsKey("content-length")) {
      body.writeBytes(exactly(in, Integer.parseInt(headers.get("content-length"))));
    } else {
      body.writeBytes(in.readAllBytes());
    }
    return new Answer(status, headers, body.toByteArray());
  }

  private static byte[] exactly(InputStream in, int n) throws IOException {
    byte[] out = in.readNBytes(n);
    if (out.length < n) {
      throw new EOFException();
    }
    return out;
  }

  static String line(InputStream in) throws IOException {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    for (int b = in.read(); b != '\n'; b = in.read()) {
      if (b < 0) {
        throw new EOFException();
      }
      if (b != '\r') {
        out.write(b);
      }
    }
    return out.toString(StandardCharsets.ISO_8859_1);
  }
}
