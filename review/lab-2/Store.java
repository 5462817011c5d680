import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The platform's store: keyed topics with conditional appends, waiting reads and pages of the
 * newest records.
 */
final class Store {

  private static final int PAGE_RECORDS = 500;
  private static final int PAGE_BYTES = 1_000_000;

  /** Maximum size of the records of one call, {@code platform.call_bytes}. */
  private static final int CALL_BYTES = 2_097_152;

  /** Time that an append takes. */
  private static final long APPEND_MILLIS = 3;

  private final Map<String, List<byte[]>> parts = new HashMap<>();

  /** Opens an address of the store and returns its port. */
  int open() throws IOException {
    return Wire.serve(this::handle);
  }

  /** Appends a record for an operator, a trainer or a server. */
  void put(String topic, String key, String value) {
    append(topic + "/0", -1, List.of(record(key, value.getBytes(StandardCharsets.UTF_8))));
  }

  /** Removes a key, as the platform does with the entry of a server that has left. */
  void drop(String topic, String key) {
    append(topic + "/0", -1, List.of(record(key, new byte[0])));
  }

  private boolean handle(Wire.Message m, Socket socket) throws IOException {
    String name = m.query("topic") + "/" + (m.query("part").isEmpty() ? "0" : m.query("part"));
    switch (m.path()) {
      case "/-/log-append" -> answerAppend(name, m, socket);
      case "/-/log-read" -> answerRead(name, m, socket);
      case "/-/log-newest" -> answerNewest(name, m, socket);
      case "/-/log-trim" -> Wire.answer(socket, 200, "{}");
      default -> Wire.answer(socket, 404, "{}");
    }
    return true;
  }

  private void answerAppend(String name, Wire.Message m, Socket socket) throws IOException {
    long at = m.query("at").isEmpty() ? -1 : Long.parseLong(m.query("at"));
    List<byte[]> records = split(m.body());
    Wire.sleep(APPEND_MILLIS);
    if (m.body().length > CALL_BYTES) {
      Wire.answer(socket, 413, "{}");
      return;
    }
    long offset = append(name, at, records);
    if (offset < 0) {
      Wire.answer(socket, 412, "{\"end\":" + (-1 - offset) + "}");
    } else {
      long end = offset + records.size();
      Wire.answer(socket, 200, "{\"offset\":" + offset + ",\"end\":" + end + "}");
    }
  }

  /** Returns the offset, or -1 minus the end if the condition doesn't hold. */
  private synchronized long append(String name, long at, List<byte[]> records) {
    List<byte[]> part = part(name);
    if (at >= 0 && at != part.size()) {
      return -1L - part.size();
    }
    long offset = part.size();
    part.addAll(records);
    notifyAll();
    return offset;
  }

  private void answerRead(String name, Wire.Message m, Socket socket) throws IOException {
    int from = Integer.parseInt(m.query("from"));
    long wait = m.query("wait_ms").isEmpty() ? 0 : Long.parseLong(m.query("wait_ms"));
    int max = 1_024 * (m.query("max_kb").isEmpty() ? 1_024 : Integer.parseInt(m.query("max_kb")));
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    synchronized (this) {
      long until = System.nanoTime() + wait * 1_000_000;
      while (part(name).size() <= from && System.nanoTime() < until) {
        try {
          wait(Math.max(1, (until - System.nanoTime()) / 1_000_000));
        } catch (InterruptedException e) {
          throw new IOException(e);
        }
      }
      List<byte[]> all = part(name);
      out.writeBytes(ByteBuffer.allocate(16).putLong(all.size()).putLong(0).array());
      for (int i = from; i < all.size(); i++) {
        if (i > from && out.size() + all.get(i).length > max) {
          break;
        }
        out.writeBytes(ByteBuffer.allocate(4).putInt(all.get(i).length).array());
        out.writeBytes(all.get(i));
      }
    }
    Wire.answer(
        socket, 200, Map.of("Content-Type", "application/octet-stream"), out.toByteArray());
  }

  private void answerNewest(String name, Wire.Message m, Socket socket) throws IOException {
    StringBuilder items = new StringBuilder();
    boolean more = false;
    long end;
    synchronized (this) {
      TreeMap<String, Integer> newest = newest(name);
      int count = 0;
      for (Map.Entry<String, Integer> e : newest.tailMap(m.query("after"), false).entrySet()) {
        if (count > 0 && (count == PAGE_RECORDS || items.length() > PAGE_BYTES)) {
          more = true;
          break;
        }
        byte[] value = value(part(name).get(e.getValue()));
        items
            .append(count > 0 ? "," : "")
            .append("{\"key\":\"" + e.getKey() + "\",\"value\":\"")
            .append(Base64.getEncoder().encodeToString(value))
            .append("\",\"offset\":" + e.getValue() + "}");
        count++;
      }
      end = part(name).size();
    }
    Wire.answer(
        socket,
        200,
        "{\"items\":[" + items + "],\"more_pages\":" + more + ",\"end\":" + end + "}");
  }

  private TreeMap<String, Integer> newest(String name) {
    TreeMap<String, Integer> newest = new TreeMap<>();
    List<byte[]> all = part(name);
    for (int i = 0; i < all.size(); i++) {
      if (value(all.get(i)).length == 0) {
        newest.remove(key(all.get(i)));
      } else {
        newest.put(key(all.get(i)), i);
      }
    }
    return newest;
  }

  private List<byte[]> part(String name) {
    return parts.computeIfAbsent(name, n -> new ArrayList<>());
  }

  private static List<byte[]> split(byte[] body) {
    List<byte[]> out = new ArrayList<>();
    ByteBuffer in = ByteBuffer.wrap(body);
    while (in.remaining() >= 4) {
      byte[] r = new byte[in.getInt()];
      in.get(r);
      out.add(r);
    }
    return out;
  }

  private static byte[] record(String key, byte[] value) {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    out.write(key.length());
    out.writeBytes(key.getBytes(StandardCharsets.US_ASCII));
    out.writeBytes(value);
    return out.toByteArray();
  }

  private static String key(byte[] r) {
    return new String(r, 1, r[0] & 0xff, StandardCharsets.US_ASCII);
  }

  private static byte[] value(byte[] r) {
    return Arrays.copyOfRange(r, 1 + (r[0] & 0xff), r.length);
  }
}
