import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Clients that send one request after the other on a kept channel. They count the requests that had
 * reached the server when their channel was closed without an answer.
 */
final class KeptChannels {

  /** More losses than this break the rule LOST. */
  private static final int ALLOWED_LOSSES = 3;

  private static final int WAIT_MILLIS = 5_000;

  private final App app;
  private final List<Thread> clients = new ArrayList<>();
  private final AtomicInteger served = new AtomicInteger();
  private final AtomicInteger lost = new AtomicInteger();
  private volatile boolean ended;

  KeptChannels(App app) {
    this.app = app;
  }

  /** Starts clients of a gateway. */
  void start(Gateways.Gateway gateway, int count) {
    for (int i = 0; i < count; i++) {
      String name = gateway.node + "-c" + i;
      clients.add(Wire.thread(() -> send(gateway, name)));
    }
  }

  /** Ends all clients and returns whether the rule was broken. */
  boolean endAndCheck() throws InterruptedException {
    ended = true;
    for (Thread client : clients) {
      client.join();
    }
    Record.line(served + " requests were answered with 200");
    Record.line(lost + " were at the server when their kept channel was closed");
    return lost.get() > ALLOWED_LOSSES;
  }

  private void send(Gateways.Gateway gateway, String name) throws IOException {
    try (Socket socket = new Socket()) {
      socket.connect(new InetSocketAddress("127.0.0.1", gateway.front), 1_000);
      socket.setSoTimeout(WAIT_MILLIS);
      socket.setTcpNoDelay(true);
      BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
      boolean open = true;
      for (int i = 0; open && !ended; i++) {
        String id = name + "-r" + i;
        String answer;
        try {
          Map<String, String> headers =
              Map.of(
                  "Host", Documents.APP,
                  "Carobhoist-Request-Id", id,
                  "Carobhoist-Deadline-Ms", "3000");
          byte[] body = ("body of " + id).getBytes(StandardCharsets.US_ASCII);
          Wire.write(socket.getOutputStream(), "POST /app/seat HTTP/1.1", headers, body);
          answer = "" + Wire.read(in, true).status();
        } catch (SocketTimeoutException e) {
          answer = "none in " + WAIT_MILLIS + " ms";
          open = false;
        } catch (IOException e) {
          answer = "none, " + e.getMessage();
          open = false;
          Wire.sleep(500);
          lost.addAndGet(i > 0 && app.hasRun(id) ? 1 : 0);
        }
        served.addAndGet(answer.equals("200") ? 1 : 0);
        Record.line("request " + id + " at " + gateway.node + " answer " + answer);
      }
    }
  }
}
