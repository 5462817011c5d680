package review;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The platform's store: a log of topics with partitions, as PROTOCOL.md describes it. */
final class Store {

  private static final int RECORD_BYTES = 262_144;
  private static final int CALL_BYTES = 2_097_152;
  private static final int PAGE_RECORDS = 500;
  private static final int PAGE_BYTES = 1_000_000;

  private final Map<String, Part> parts = new HashMap<>();
  final int port;

  private static final class Part {
    final List<byte[]> records = new ArrayList<>();
    final TreeMap<String, Integer> newest = new TreeMap<>();
  }

  Store() throws Exception {
    port = Http.serve("store", this::handle);
  }

  /** Writes a record as the operator, a trainer or a server does; returns its offset. */
  synchronized int put(String topic, String key, String value) {
    byte[] k = key.getBytes(StandardCharsets.US_ASCII);
    byte[] v = value.getBytes(StandardCharsets.UTF_8);
    byte[] record = ByteBuffer.allocate(1 + k.length + v.length)
        .put((byte) k.length).put(k).put(v).array();
    return add(part(topic + "/0"), record);
  }

  private Part part(String name) {
    return parts.computeIfAbsent(name, n -> new Part());
  }

  private int add(Part part, byte[] record) {
    int offset = part.records.size();
    part.records.add(record);
    String key = key(record);
    if (value(record).length == 0) {
      part.newest.remove(key);
    } else {
      part.newest.put(key, offset);
    }
    notifyAll();
    return offset;
  }

  private static String key(byte[] record) {
    return new String(record, 1, record[0] & 0xff, StandardCharsets.US_ASCII);
  }

  private static byte[] value(byte[] record) {
    int from = 1 + (record[0] & 0xff);
    return java.util.Arrays.copyOfRange(record, from, record.length);
  }

  private void handle(Http.Message call, Http.Channel channel) throws Exception {
    String name = call.query("topic", "") + "/" + call.query("part", "0");
    if (call.target().startsWith("/-/log-append")) {
      append(name, call, channel);
    } else if (call.target().startsWith("/-/log-read")) {
      read(name, call, channel);
    } else if (call.target().startsWith("/-/log-newest")) {
      newest(name, call, channel);
    } else {
      channel.answer(404, "", new byte[0]);
    }
  }

  private void append(String name, Http.Message call, Http.Channel channel) throws Exception {
    Thread.sleep(4);
    String at = call.query("at", "");
    List<byte[]> records = new ArrayList<>();
    ByteBuffer in = ByteBuffer.wrap(call.body());
    boolean tooLarge = call.body().length > CALL_BYTES;
    while (in.remaining() >= 4) {
      byte[] record = new byte[in.getInt()];
      in.get(record);
      records.add(record);
      tooLarge |= record.length > RECORD_BYTES;
    }
    if (tooLarge) {
      channel.answer(413, "", new byte[0]);
      return;
    }
    int status = 200;
    String body;
    synchronized (this) {
      Part part = part(name);
      if (!at.isEmpty() && Integer.parseInt(at) != part.records.size()) {
        status = 412;
        body = "{\"end\":" + part.records.size() + "}";
      } else {
        int offset = part.records.size();
        records.forEach(r -> add(part, r));
        body = "{\"offset\":" + offset + ",\"end\":" + part.records.size() + "}";
      }
    }
    channel.answer(status, "Content-Type: application/json\r\n", body.getBytes());
  }

  private void read(String name, Http.Message call, Http.Channel channel) throws Exception {
    Thread.sleep(4);
    int from = Integer.parseInt(call.query("from", "0"));
    int limit = Integer.parseInt(call.query("max_kb", "1024")) * 1024;
    long until = System.nanoTime() + Long.parseLong(call.query("wait_ms", "0")) * 1_000_000;
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    synchronized (this) {
      Part part = part(name);
      for (long left = until - System.nanoTime();
          part.records.size() <= from && left > 0;
          left = until - System.nanoTime()) {
        wait(left / 1_000_000 + 1);
      }
      out.writeBytes(ByteBuffer.allocate(16).putLong(part.records.size()).putLong(0).array());
      for (int i = from; i < part.records.size(); i++) {
        byte[] r = part.records.get(i);
        if (i > from && out.size() + r.length > limit) {
          break;
        }
        out.writeBytes(ByteBuffer.allocate(4).putInt(r.length).array());
        out.writeBytes(r);
      }
    }
    channel.answer(200, "", out.toByteArray());
  }

  private void newest(String name, Http.Message call, Http.Channel channel) throws Exception {
    Thread.sleep(4);
    StringBuilder items = new StringBuilder();
    boolean more = false;
    int end;
    synchronized (this) {
      Part part = part(name);
      end = part.records.size();
      int count = 0;
      for (Map.Entry<String, Integer> e
          : part.newest.tailMap(call.query("after", ""), false).entrySet()) {
        if (count == PAGE_RECORDS || items.length() > PAGE_BYTES) {
          more = true;
          break;
        }
        byte[] value = value(part.records.get(e.getValue()));
        items.append(count++ == 0 ? "" : ",").append("{\"key\":\"").append(e.getKey())
            .append("\",\"value\":\"").append(Base64.getEncoder().encodeToString(value))
            .append("\",\"offset\":").append(e.getValue()).append('}');
      }
    }
    String body = "{\"items\":[" + items + "],\"more_pages\":" + more + ",\"end\":" + end + "}";
    channel.answer(200, "Content-Type: application/json\r\n", body.getBytes());
  }
}
