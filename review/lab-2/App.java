import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** A plain server that answers with the body of the request, until it exits. */
final class App {

  private static final long WORK_MILLIS = 100;

  private final Store store;
  private final String id;
  private final long born = System.currentTimeMillis();
  private final List<Long> runs = new ArrayList<>();
  private final Set<String> ids = new HashSet<>();
  private final List<Socket> open = new ArrayList<>();
  private ServerSocket server;
  private long sequence;
  private boolean left;

  App(Store store, String id) {
    this.store = store;
    this.id = id;
  }

  void start() throws IOException {
    server = new ServerSocket(0, 256, InetAddress.getByName("127.0.0.1"));
    Wire.thread(
        () -> {
          while (true) {
            Socket socket = server.accept();
            synchronized (this) {
              open.add(socket);
            }
            Wire.thread(() -> serve(socket));
          }
        });
    Wire.thread(
        () -> {
          while (beat()) {
            Wire.sleep(1_200);
          }
        });
  }

  /** Returns the entry of the next heartbeat, which isn't written. */
  synchronized String nextBeat() {
    sequence++;
    return "{\"service\":\"app\",\"address\":\"127.0.0.1:" + server.getLocalPort()
        + "\",\"zone\":\"a\",\"version\":\"v1\",\"slots\":6,\"state\":\"ready\","
        + "\"cold_remaining_ms\":0,\"born\":" + born + ",\"sequence\":" + sequence + "}";
  }

  /** Removes the entry of this server, which serves on and writes no further heartbeat. */
  synchronized void leave() {
    left = true;
    store.drop("keyed.servers", id);
  }

  private synchronized boolean beat() {
    if (!left) {
      store.put("keyed.servers", id, nextBeat());
    }
    return !left;
  }

  /** Ends the server with all of its channels. */
  synchronized void exit() throws IOException {
    Record.line(id + " exits");
    server.close();
    for (Socket socket : open) {
      socket.close();
    }
  }

  /** Returns when each request reached this server. */
  synchronized List<Long> runs() {
    return List.copyOf(runs);
  }

  /** Returns whether a request has reached this server. */
  synchronized boolean hasRun(String request) {
    return ids.contains(request);
  }

  private void serve(Socket socket) throws IOException {
    socket.setTcpNoDelay(true);
    InputStream in = new BufferedInputStream(socket.getInputStream());
    try (socket) {
      for (Wire.Message m = Wire.read(in, false); m != null; m = Wire.read(in, false)) {
        String request = m.header("carobhoist-request-id");
        synchronized (this) {
          runs.add(Record.millis());
          ids.add(request);
        }
        Record.line("run " + request + " at " + id);
        Wire.sleep(WORK_MILLIS);
        Wire.answer(
            socket,
            200,
            Map.of(
                "Carobhoist-Request-Id", request,
                "Carobhoist-Server-Stamp", "stamp-" + id + "-" + request),
            m.body());
      }
    }
  }
}
