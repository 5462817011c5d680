import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * A plain server that can fall silent: it then reads nothing, answers nothing, writes no heartbeat,
 * and completes no new connection, as a machine without power does.
 */
final class DarkApp {

  private static final int BACKLOG = 1;
  private static final long WORK_MILLIS = 36;

  /** Time after which an idle channel is closed, as the answers say. */
  private static final int IDLE_MILLIS = 1_000;

  private final Store store;
  private final String id;
  private final long born = System.currentTimeMillis();
  private final List<Socket> fillers = new ArrayList<>();
  private ServerSocket server;
  private long sequence;
  private volatile boolean dark;

  DarkApp(Store store, String id) {
    this.store = store;
    this.id = id;
  }

  void start() throws IOException {
    server = new ServerSocket(0, BACKLOG, InetAddress.getByName("127.0.0.1"));
    Wire.thread(this::accept);
    Wire.thread(
        () -> {
          while (true) {
            if (!dark) {
              beat();
            }
            Wire.sleep(1_200);
          }
        });
  }

  private void accept() throws IOException {
    while (true) {
      Socket socket = server.accept();
      // Connections that came while the server was dark are answered once it is back.
      awaitLight();
      Wire.thread(() -> serve(socket));
    }
  }

  private void awaitLight() {
    while (dark) {
      Wire.sleep(5);
    }
  }

  private void serve(Socket socket) throws IOException {
    socket.setTcpNoDelay(true);
    socket.setSoTimeout(IDLE_MILLIS);
    InputStream in = new BufferedInputStream(socket.getInputStream());
    try (socket) {
      for (Wire.Message m = Wire.read(in, false); m != null; m = Wire.read(in, false)) {
        awaitLight();
        String request = m.header("carobhoist-request-id");
        Record.line("run " + request + " at " + id);
        Wire.sleep(WORK_MILLIS);
        Wire.answer(
            socket,
            200,
            Map.of(
                "Keep-Alive", "timeout=1",
                "Carobhoist-Request-Id", request,
                "Carobhoist-Server-Stamp", "stamp-" + id + "-" + request),
            m.body());
      }
    }
  }

  private synchronized void beat() {
    sequence++;
    store.put(
        "keyed.servers",
        id,
        "{\"service\":\"app\",\"address\":\"127.0.0.1:" + server.getLocalPort()
            + "\",\"zone\":\"a\",\"version\":\"v1\",\"slots\":6,\"state\":\"ready\","
            + "\"cold_remaining_ms\":0,\"born\":" + born + ",\"sequence\":" + sequence + "}");
  }

  /** Falls silent. The queue of new connections is filled, so that the kernel answers no more. */
  void goDark() throws IOException {
    dark = true;
    for (int failed = 0; failed < 2; ) {
      Socket filler = new Socket();
      fillers.add(filler);
      try {
        filler.connect(new InetSocketAddress("127.0.0.1", server.getLocalPort()), 100);
      } catch (IOException e) {
        failed++;
      }
    }
    Record.line(id + " is dark");
  }

  /** Is back. */
  void comeBack() throws IOException {
    for (Socket filler : fillers) {
      filler.close();
    }
    dark = false;
    Record.line(id + " is back");
  }
}
