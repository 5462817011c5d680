package lab;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A server as PROTOCOL.md describes it: a model server, which also carries out orders, or a plain
 * one. It writes its entry to the store while it runs.
 */
final class Engine {

  /** A request as a server received it. */
  record Call(String method, String target, Map<String, String> headers, byte[] body, Socket s) {
    String id() {
      return headers.getOrDefault("carobhoist-request-id", "");
    }
  }

  /** Runs a request that isn't one of the server's own calls. */
  interface Work {
    void run(Engine engine, Call call, OutputStream out) throws IOException;
  }

  /** Told of each order that arrives. */
  interface OrderListener {
    void onOrder(Engine engine, String holder, long fence, String model, long version, int status);
  }

  private static final AtomicLong STAMPS = new AtomicLong();
  private static final long LOAD_MILLIS = 900;

  final String id;
  final String service;
  final String zone;
  private final Store store;
  private final Work work;
  private final boolean fenced;
  private final ServerSocket listener;
  private final Map<String, Long> versions = new TreeMap<>();
  private final AtomicInteger running = new AtomicInteger();
  private final long born = System.currentTimeMillis();
  private volatile OrderListener orders = (e, h, f, m, v, s) -> {};
  private long sequence;
  private long highestFence = -1;
  private long busyUntil;
  private int beat;
  private volatile boolean open = true;

  Engine(String id, String service, String zone, Store store, boolean fenced, Work work,
      String... models) throws IOException {
    this.id = id;
    this.service = service;
    this.zone = zone;
    this.store = store;
    this.work = work;
    this.fenced = fenced;
    for (String m : models) {
      versions.put(m, 1L);
    }
    listener = new ServerSocket(0, 256, InetAddress.getByName("127.0.0.1"));
    Threads.start("engine", this::accept);
    Threads.start("beat", this::beats);
  }

  void setOrderListener(OrderListener value) {
    orders = value;
  }

  String address() {
    return "127.0.0.1:" + listener.getLocalPort();
  }

  synchronized long version(String model) {
    return versions.getOrDefault(model, 0L);
  }

  void close() throws IOException {
    open = false;
    listener.close();
  }

  private void beats() {
    while (open) {
      store.put("keyed.servers", id, entry());
      Threads.sleep(1_200);
    }
  }

  private synchronized String entry() {
    return "{\"service\":\"" + service + "\",\"address\":\"" + address() + "\",\"zone\":\"" + zone
        + "\",\"version\":\"v1\",\"slots\":8,\"state\":\"ready\",\"cold_remaining_ms\":0,\"born\":"
        + born + (versions.isEmpty() ? "" : ",\"stage\":\"both\",\"models\":" + models())
        + ",\"sequence\":" + ++beat + "}";
  }

  private synchronized String models() {
    StringBuilder out = new StringBuilder("[");
    versions.forEach((m, v) -> out.append(out.length() > 1 ? "," : "").append("{\"name\":\"")
        .append(m).append("\",\"version\":").append(v).append(",\"adapters\":[]}"));
    return out + "]";
  }

  private void accept() {
    while (open) {
      try {
        Socket s = listener.accept();
        s.setTcpNoDelay(true);
        Threads.start("channel", () -> serve(s));
      } catch (IOException e) {
        return;
      }
    }
  }

  private void serve(Socket s) {
    try (s) {
      InputStream in = s.getInputStream();
      for (String first = Wire.line(in); open; first = Wire.line(in)) {
        String[] words = first.split(" ");
        Map<String, String> headers = new TreeMap<>();
        for (String l = Wire.line(in); !l.isEmpty(); l = Wire.line(in)) {
          int colon = l.indexOf(':');
          String name = l.substring(0, colon).toLowerCase(Locale.ROOT);
          headers.merge(name, l.substring(colon + 1).strip(), (a, b) -> a + ", " + b);
        }
        byte[] body = in.readNBytes(Integer.parseInt(headers.getOrDefault("content-length", "0")));
        handle(new Call(words[0], words[1], headers, body, s), s.getOutputStream());
      }
    } catch (IOException e) {
      // The channel has ended.
    }
  }

  private void handle(Call call, OutputStream out) throws IOException {
    String expected = call.headers().get("carobhoist-expect-instance");
    if (expected != null && !expected.equals(id)) {
      answer(out, call, 421, "Carobhoist-Instance-Id: " + id + "\r\n", new byte[0]);
    } else if (call.target().equals("/-/report")) {
      answer(out, call, 200, "Content-Type: application/json\r\n", report());
    } else if (call.target().equals("/-/order")) {
      order(call, out);
    } else if (call.target().equals("/health")) {
      answer(out, call, 200, "Carobhoist-Instance-Id: " + id + "\r\n", new byte[0]);
    } else {
      running.incrementAndGet();
      try {
        work.run(this, call, out);
      } finally {
        running.decrementAndGet();
      }
    }
  }

  private synchronized byte[] report() {
    boolean busy = System.currentTimeMillis() < busyUntil;
    return ("{\"stage\":\"both\",\"models\":" + models() + ",\"busy\":" + busy + ",\"sequence\":"
        + sequence + ",\"waiting\":0,\"running\":" + running.get()
        + ",\"kv_used\":0,\"kv_total\":90000,\"handles\":0}").getBytes(StandardCharsets.UTF_8);
  }

  private void order(Call call, OutputStream out) throws IOException {
    String text = new String(call.body(), StandardCharsets.UTF_8);
    String holder = field(text, "holder");
    String model = field(text, "model");
    long fence = Long.parseLong(field(text, "fence"));
    long version = Long.parseLong(field(text, "version"));
    String expected = field(text, "expected");
    int status;
    synchronized (this) {
      if (fenced && fence < highestFence) {
        status = 412;
      } else if (System.currentTimeMillis() < busyUntil
          || (!expected.isEmpty() && Long.parseLong(expected) != sequence)) {
        status = 409;
      } else if (version(model) == version) {
        status = 200;
      } else {
        status = 202;
        sequence++;
        busyUntil = System.currentTimeMillis() + LOAD_MILLIS;
        versions.put(model, version);
      }
      highestFence = Math.max(highestFence, fence);
    }
    orders.onOrder(this, holder, fence, model, version, status);
    answer(out, call, status, "", new byte[0]);
  }

  private static String field(String json, String name) {
    Matcher m = Pattern.compile("\"" + name + "\"\\s*:\\s*\"?([^\",}]*)").matcher(json);
    return m.find() ? m.group(1) : "";
  }

  static String stamp() {
    return "3e1b." + STAMPS.incrementAndGet();
  }

  /** Sends a whole answer; one without a stamp if {@code headers} don't have it. */
  static void answer(OutputStream out, Call call, int status, String headers, byte[] body)
      throws IOException {
    String id = call.id().isEmpty() ? "" : "Carobhoist-Request-Id: " + call.id() + "\r\n";
    String head = "HTTP/1.1 " + status + " X\r\n" + id + headers + "Content-Length: " + body.length
        + "\r\n\r\n";
    out.write(head.getBytes(StandardCharsets.ISO_8859_1));
    out.write(body);
    out.flush();
  }

  /** Streams the events of a text, from the one after {@code Last-Event-Id} on. */
  void stream(OutputStream out, Call call, String model, int count, long gapMillis, String data)
      throws IOException {
    int from = Integer.parseInt(call.headers().getOrDefault("last-event-id", "0"));
    String head = "HTTP/1.1 200 OK\r\nCarobhoist-Request-Id: " + call.id()
        + "\r\nCarobhoist-Server-Stamp: " + stamp() + "\r\nCarobhoist-Weight-Versions: "
        + version(model) + "\r\nContent-Type: text/event-stream\r\n"
        + "Transfer-Encoding: chunked\r\n\r\n";
    out.write(head.getBytes(StandardCharsets.ISO_8859_1));
    out.flush();
    long shown = version(model);
    for (int i = from + 1; i <= count; i++) {
      Threads.sleep(gapMillis);
      long now = version(model);
      String mark = now == shown ? "" : "carobhoist-weight-versions: " + now + "\n";
      shown = now;
      byte[] event = (mark + "id: " + i + "\ndata: " + data + i + "\n\n")
          .getBytes(StandardCharsets.UTF_8);
      out.write((Integer.toHexString(event.length) + "\r\n").getBytes(StandardCharsets.US_ASCII));
      out.write(event);
      out.write("\r\n".getBytes(StandardCharsets.US_ASCII));
      out.flush();
    }
    out.write("0\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
    out.flush();
  }

}
