package review;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A model server, as PROTOCOL.md describes it. */
final class Engine {

  /** Time that a change of version takes. */
  private static final long LOAD_MS = 900;

  private static final int SLOTS = 8;

  final String id;
  final int port;
  private final Lab lab;
  private final String service;
  private final int eventMs;
  private final int events;
  private volatile int version = 1;
  private volatile boolean busy;
  private volatile int orders;
  private volatile int running;
  private long highestFence = -1;
  private volatile double halfFullAt;
  private final Map<String, Double> seenAt = new ConcurrentHashMap<>();
  volatile int named = 1;

  /** For each item the versions under which its events were made, in the order of the events. */
  final Map<String, List<Integer>> made = new ConcurrentHashMap<>();

  Engine(Lab lab, String id, String service, int events, int eventMs) throws Exception {
    this.lab = lab;
    this.id = id;
    this.service = service;
    this.events = events;
    this.eventMs = eventMs;
    this.port = Http.serve(id, this::handle);
    Http.daemon(id + "-beat", () -> {
      while (true) {
        register();
        Thread.sleep(1200);
      }
    });
  }

  private void register() {
    lab.store.put("keyed.servers", id,
        "{\"service\":\"" + service + "\",\"address\":\"127.0.0.1:" + port
            + "\",\"zone\":\"zone-a\",\"version\":\"v1\",\"slots\":" + SLOTS + ",\"state\":\"ready\","
            + "\"cold_remaining_ms\":0,\"stage\":\"both\",\"models\":[{\"name\":\"m0\","
            + "\"version\":" + version + ",\"adapters\":[]}],\"sequence\":" + orders
            + ",\"born\":1}");
  }

  private void handle(Http.Message request, Http.Channel channel) throws Exception {
    String expected = request.header("carobhoist-expect-instance");
    if (!expected.isEmpty() && !expected.equals(id)) {
      channel.answer(421, "Carobhoist-Instance-Id: " + id + "\r\n", new byte[0]);
    } else if (request.target().equals("/-/report")) {
      String body = "{\"stage\":\"both\",\"models\":[{\"name\":\"m0\",\"version\":" + version
          + ",\"adapters\":[]}],\"busy\":" + busy + ",\"sequence\":" + orders
          + ",\"waiting\":0,\"running\":" + running
          + ",\"kv_used\":0,\"kv_total\":41141,\"handles\":0}";
      channel.answer(200, "Content-Type: application/json\r\n", body.getBytes());
    } else if (request.target().equals("/-/order")) {
      order(request, channel);
    } else if (request.target().equals("/health")) {
      channel.answer(200, "Carobhoist-Instance-Id: " + id + "\r\n", new byte[0]);
    } else {
      run(request, channel);
    }
  }

  /** Returns when an item was last at this server, in seconds of the day; 0 if it never was. */
  double lastAt(String item) {
    return seenAt.getOrDefault(item, 0.0);
  }

  /** Returns for how many seconds fewer than half of the slots have been taken. */
  double underHalfFullFor() {
    return lab.seconds() - halfFullAt;
  }

  private static String field(String json, String name) {
    Matcher m = Pattern.compile("\"" + name + "\":\"?([^\",}]*)").matcher(json);
    return m.find() ? m.group(1) : "";
  }

  private void order(Http.Message request, Http.Channel channel) throws Exception {
    String json = request.text();
    lab.note(id + " is ordered " + json);
    int status;
    synchronized (this) {
      int wanted = Integer.parseInt(field(json, "version"));
      long fence = Long.parseLong(field(json, "fence"));
      String expected = field(json, "expected");
      if (fence < highestFence) {
        status = 412;
      } else if (busy || (!expected.isEmpty() && Integer.parseInt(expected) != orders)) {
        status = 409;
      } else if (wanted > named) {
        status = 400;
      } else if (wanted == version) {
        status = 200;
      } else {
        status = 202;
        busy = true;
        orders++;
        Http.daemon(id + "-load", () -> load(wanted, field(json, "mode")));
      }
      highestFence = Math.max(highestFence, fence);
    }
    lab.note(id + " answers the order " + status);
    channel.answer(status, "", new byte[0]);
  }

  private void load(int wanted, String mode) throws Exception {
    while (mode.equals("wait") && running > 0) {
      Thread.sleep(20);
    }
    Thread.sleep(LOAD_MS);
    version = wanted;
    busy = false;
    lab.note(id + " serves version " + wanted + " (" + running + " runs)");
    register();
  }

  private void run(Http.Message request, Http.Channel channel) throws Exception {
    String item = request.header("carobhoist-request-id");
    String ids = "Carobhoist-Request-Id: " + item + "\r\n";
    if (busy || running >= SLOTS) {
      channel.answer(503, ids + "Carobhoist-Not-Run: 1\r\n", new byte[0]);
      return;
    }
    int from = request.header("last-event-id").isEmpty()
        ? 0 : Integer.parseInt(request.header("last-event-id"));
    synchronized (this) {
      running++;
    }
    int current = version;
    lab.note(id + " runs " + item + " from event " + (from + 1) + " under version " + current);
    List<Integer> versions = new ArrayList<>();
    try {
      channel.write("HTTP/1.1 200 OK\r\n" + ids + "Carobhoist-Server-Stamp: " + id + "." + item
          + "\r\nCarobhoist-Weight-Versions: " + current + "\r\nContent-Type: text/event-stream"
          + "\r\nTransfer-Encoding: chunked\r\n\r\n", new byte[0]);
      for (int n = from + 1; n <= events; n++) {
        Thread.sleep(eventMs);
        while (busy) {
          Thread.sleep(10);
        }
        seenAt.put(item, lab.seconds());
        if (running >= SLOTS / 2) {
          halfFullAt = lab.seconds();
        }
        String change = "";
        if (version != current) {
          current = version;
          change = "carobhoist-weight-versions: " + current + "\n";
        }
        channel.chunk(change + "id: " + n + "\ndata: " + item + "-" + n + "\n\n");
        versions.add(current);
      }
      channel.write("0\r\n\r\n", new byte[0]);
      made.put(item, versions);
      lab.note(id + " finished " + item + ", versions of its events "
          + new java.util.TreeSet<>(versions));
    } catch (java.io.IOException e) {
      lab.note(id + " dropped " + item + " after event " + (from + versions.size()) + ", versions "
          + new java.util.TreeSet<>(versions));
      throw e;
    } finally {
      synchronized (this) {
        running--;
      }
    }
  }
}
