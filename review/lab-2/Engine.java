import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * A model server: streams the events of items, resumes them, carries out orders without a check of
 * their fences, and writes its entry to the store with each heartbeat.
 */
final class Engine {

  /** An order as the engine received it. */
  record Order(long millis, String holder, long fence, long version, int status) {}

  /** Opens a port through which an engine is reached. */
  interface Front {
    int open(int port) throws IOException;
  }

  private final Store store;
  final String id;
  final String service;
  private final long born = System.currentTimeMillis();
  private int port;
  private long sequence;
  private long version = 1;
  private long accepted;
  private volatile long busyUntil;
  private volatile long next;
  private static final int EVENTS = 20;
  private static final long EVENT_MILLIS = 40;
  private static final long LOAD_MILLIS = 900;
  private final List<Order> orders = new ArrayList<>();

  Engine(Store store, String id, String service) {
    this.store = store;
    this.id = id;
    this.service = service;
  }

  /** Starts the engine; its entry names the port of a proxy if there is one. */
  void start(Front front) throws IOException {
    port = front.open(Wire.serve(this::handle));
    Wire.thread(
        () -> {
          while (true) {
            beat();
            Wire.sleep(1_200);
          }
        });
  }

  private synchronized void beat() {
    settle();
    sequence++;
    store.put(
        "keyed.servers",
        id,
        "{\"service\":\""
            + service
            + "\",\"address\":\"127.0.0.1:"
            + port
            + "\",\"zone\":\"a\",\"version\":\"v1\",\"slots\":8,\"state\":\"ready\","
            + "\"cold_remaining_ms\":0,\"born\":"
            + born
            + ",\"sequence\":"
            + sequence
            + ",\"stage\":\"both\",\"models\":"
            + models()
            + "}");
  }

  private String models() {
    return "[{\"name\":\"m0\",\"version\":" + version + ",\"adapters\":[]}]";
  }

  synchronized List<Order> orders() {
    return List.copyOf(orders);
  }

  private void settle() {
    if (busyUntil > 0 && Record.millis() >= busyUntil) {
      busyUntil = 0;
      version = next;
    }
  }

  private boolean handle(Wire.Message m, Socket socket) throws IOException {
    if (!m.header("carobhoist-expect-instance").isEmpty()
        && !m.header("carobhoist-expect-instance").equals(id)) {
      Wire.answer(socket, 421, "{}");
      return true;
    }
    if (m.path().equals("/-/report")) {
      String report;
      synchronized (this) {
        settle();
        report =
            "{\"stage\":\"both\",\"models\":"
                + models()
                + ",\"busy\":"
                + (busyUntil > 0)
                + ",\"sequence\":"
                + accepted
                + ",\"waiting\":0,\"running\":0,\"kv_used\":0,\"kv_total\":90000,\"handles\":0}";
      }
      Wire.answer(socket, 200, report);
      return true;
    }
    if (m.path().equals("/-/order")) {
      Wire.answer(socket, order(m.text()), "{}");
      return true;
    }
    stream(m, socket);
    return true;
  }

  private synchronized int order(String json) {
    settle();
    long fence = number(json, "fence");
    long wanted = number(json, "version");
    int status;
    if (wanted == version && busyUntil == 0) {
      status = 200;
    } else if (busyUntil > 0 || number(json, "expected") != accepted) {
      status = 409;
    } else {
      status = 202;
      accepted++;
      next = wanted;
      busyUntil = Record.millis() + LOAD_MILLIS;
    }
    String holder = json.replaceAll(".*\"holder\":\"([^\"]*)\".*", "$1");
    orders.add(new Order(Record.millis(), holder, fence, wanted, status));
    Record.line(
        "order at " + id + " holder " + holder + " fence " + fence + " version " + wanted
            + " answered " + status);
    return status;
  }

  static long number(String json, String name) {
    String found = json.replaceAll("(?s).*\"" + name + "\":(-?\\d+).*", "$1");
    return found.equals(json) ? -1 : Long.parseLong(found);
  }

  private void stream(Wire.Message m, Socket socket) throws IOException {
    String request = m.header("carobhoist-request-id");
    int from = m.header("last-event-id").isEmpty() ? 0 : Integer.parseInt(m.header("last-event-id"));
    long current;
    synchronized (this) {
      settle();
      current = version;
    }
    Record.line("run " + request + " at " + id + " after " + from + " version " + current);
    OutputStream out = socket.getOutputStream();
    String head =
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"
            + "Carobhoist-Request-Id: " + request + "\r\nCarobhoist-Weight-Versions: " + current
            + "\r\nCarobhoist-Server-Stamp: stamp-" + id + "-" + request + "\r\n\r\n";
    out.write(head.getBytes(StandardCharsets.US_ASCII));
    out.flush();
    for (int i = from + 1; i <= EVENTS; i++) {
      Wire.sleep(EVENT_MILLIS);
      long now;
      synchronized (this) {
        settle();
        now = version;
      }
      String change = now == current ? "" : "carobhoist-weight-versions: " + now + "\n";
      current = now;
      String event = change + "id: " + i + "\ndata: " + request + "-" + i + "\n\n";
      out.write((Integer.toHexString(event.length()) + "\r\n" + event + "\r\n")
          .getBytes(StandardCharsets.US_ASCII));
      out.flush();
    }
    out.write("0\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
    out.flush();
  }
}
