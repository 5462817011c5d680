package lab;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Executors;
import java.util.function.Predicate;

/** The platform's store as PROTOCOL.md describes it: a log in partitions, read with long polls. */
final class Store {

  private static final int PAGE = 500;
  private static final int PAGE_BYTES = 1_000_000;
  static final int RECORD_BYTES = 262_144;
  static final int CALL_BYTES = 2_097_152;

  private final HttpServer http;
  private final Map<String, List<byte[]>> parts = new HashMap<>();
  private volatile Predicate<String> silentFor = target -> false;
  private volatile boolean open = true;
  private volatile long delayMillis;

  Store() throws IOException {
    http = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 256);
    http.setExecutor(Executors.newCachedThreadPool(Threads.daemon("store")));
    http.createContext("/-/", this::handle);
    http.start();
  }

  String address() {
    return "127.0.0.1:" + http.getAddress().getPort();
  }

  void close() {
    open = false;
    synchronized (this) {
      notifyAll();
    }
    http.stop(0);
  }

  /** Sets by how much each answer is late. */
  void setDelay(long millis) {
    delayMillis = millis;
  }

  /** Sets which calls get no answer and aren't carried out, by path and query. */
  void setSilentFor(Predicate<String> calls) {
    silentFor = calls;
  }

  /** Writes a record as the operator or a server does. */
  void put(String topic, String key, String value) {
    putBytes(topic, key, value.getBytes(StandardCharsets.UTF_8));
  }

  /** Writes a record of any bytes. */
  synchronized void putBytes(String topic, String key, byte[] value) {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    out.write(key.length());
    out.writeBytes(key.getBytes(StandardCharsets.US_ASCII));
    out.writeBytes(value);
    part(topic + "/0").add(out.toByteArray());
    notifyAll();
  }

  synchronized Map<String, byte[]> newest(String topic, int part) {
    Map<String, byte[]> found = new TreeMap<>();
    for (byte[] r : part(topic + "/" + part)) {
      if (value(r).length == 0) {
        found.remove(key(r));
      } else {
        found.put(key(r), value(r));
      }
    }
    return found;
  }

  private void handle(HttpExchange call) throws IOException {
    byte[] body = call.getRequestBody().readAllBytes();
    String target = call.getRequestURI().toString();
    if (silentFor.test(target)) {
      sleep(60_000);
      call.close();
      return;
    }
    Map<String, String> query = Threads.query(call.getRequestURI().getRawQuery());
    String name = query.get("topic") + "/" + query.get("part");
    switch (call.getRequestURI().getPath()) {
      case "/-/log-append" -> append(call, name, query.get("at"), body);
      case "/-/log-read" -> read(call, name, query);
      case "/-/log-newest" -> newestPage(call, name, query.getOrDefault("after", ""));
      default -> answer(call, 404, new byte[0]);
    }
  }

  private void append(HttpExchange call, String name, String at, byte[] body) throws IOException {
    sleep(3);
    List<byte[]> records = new ArrayList<>();
    ByteBuffer in = ByteBuffer.wrap(body);
    boolean tooLarge = body.length > CALL_BYTES;
    while (in.remaining() >= 4) {
      byte[] r = new byte[in.getInt()];
      in.get(r);
      tooLarge |= r.length > RECORD_BYTES;
      records.add(r);
    }
    if (tooLarge) {
      answer(call, 413, new byte[0]);
      return;
    }
    int status = 200;
    String text;
    synchronized (this) {
      List<byte[]> part = part(name);
      int end = part.size();
      if (at != null && Long.parseLong(at) != end) {
        status = 412;
        text = "{\"end\":" + end + "}";
      } else {
        part.addAll(records);
        text = "{\"offset\":" + end + ",\"end\":" + part.size() + "}";
        notifyAll();
      }
    }
    answer(call, status, text.getBytes(StandardCharsets.UTF_8));
  }

  private void read(HttpExchange call, String name, Map<String, String> query) throws IOException {
    int from = Integer.parseInt(query.get("from"));
    long wait = Long.parseLong(query.getOrDefault("wait_ms", "0"));
    long most = 1024L * Long.parseLong(query.getOrDefault("max_kb", "1024"));
    long until = System.nanoTime() + wait * 1_000_000;
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    synchronized (this) {
      List<byte[]> part = part(name);
      for (long left = wait; part.size() <= from && left > 0 && open; ) {
        try {
          wait(left);
        } catch (InterruptedException e) {
          return;
        }
        left = (until - System.nanoTime()) / 1_000_000;
      }
      out.writeBytes(ByteBuffer.allocate(16).putLong(part.size()).putLong(0).array());
      for (int i = from; i < part.size(); i++) {
        byte[] r = part.get(i);
        if (i > from && out.size() + r.length > most) {
          break;
        }
        out.writeBytes(ByteBuffer.allocate(4).putInt(r.length).array());
        out.writeBytes(r);
      }
    }
    answer(call, 200, out.toByteArray());
  }

  private void newestPage(HttpExchange call, String name, String after) throws IOException {
    StringBuilder items = new StringBuilder();
    boolean more = false;
    int end;
    synchronized (this) {
      List<byte[]> part = part(name);
      end = part.size();
      TreeMap<String, Integer> newest = new TreeMap<>();
      for (int i = 0; i < end; i++) {
        if (value(part.get(i)).length == 0) {
          newest.remove(key(part.get(i)));
        } else {
          newest.put(key(part.get(i)), i);
        }
      }
      int count = 0;
      for (Map.Entry<String, Integer> e : newest.tailMap(after, false).entrySet()) {
        if (count == PAGE || items.length() > PAGE_BYTES) {
          more = true;
          break;
        }
        String value = Base64.getEncoder().encodeToString(value(part.get(e.getValue())));
        items.append(count++ > 0 ? "," : "").append("{\"key\":\"").append(e.getKey());
        items.append("\",\"value\":\"").append(value);
        items.append("\",\"offset\":").append(e.getValue()).append("}");
      }
    }
    String text = "{\"items\":[" + items + "],\"more_pages\":" + more + ",\"end\":" + end + "}";
    answer(call, 200, text.getBytes(StandardCharsets.UTF_8));
  }

  private void answer(HttpExchange call, int status, byte[] body) throws IOException {
    sleep(delayMillis);
    try {
      call.sendResponseHeaders(status, body.length == 0 ? -1 : body.length);
      call.getResponseBody().write(body);
    } finally {
      call.close();
    }
  }

  private List<byte[]> part(String name) {
    return parts.computeIfAbsent(name, n -> new ArrayList<>());
  }

  private static String key(byte[] r) {
    return new String(r, 1, r[0] & 0xff, StandardCharsets.US_ASCII);
  }

  private static byte[] value(byte[] r) {
    return Arrays.copyOfRange(r, 1 + (r[0] & 0xff), r.length);
  }

  private static void sleep(long millis) {
    Threads.sleep(millis);
  }
}
