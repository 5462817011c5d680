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
 * Lets the servers of a service go dark for some seconds, and checks that the requests which are
 * unanswered at their route's timeout get an answer soon after it.
 */
final class NoAnswer {

  private static final long TIMEOUT_MILLIS = 350;
  private static final long ALLOWED_MILLIS = TIMEOUT_MILLIS + 500;
  private static final int SERVERS = 3;
  private static final int WAIT_MILLIS = 15_000;

  private static final AtomicInteger served = new AtomicInteger();
  private static final AtomicInteger unansweredAtTimeout = new AtomicInteger();
  private static final AtomicInteger unansweredLater = new AtomicInteger();
  private static final AtomicInteger neverAnswered = new AtomicInteger();

  private NoAnswer() {}

  public static void main(String[] args) throws Exception {
    Case.main(
        args,
        (folder, trouble) -> {
          Store store = new Store();
          String manifest = Documents.manifest(1, "non_idempotent");
          store.put(
              "keyed.op",
              "config",
              manifest
                  .replace("\"timeout_ms\":3000", "\"timeout_ms\":" + TIMEOUT_MILLIS)
                  .replace("\"max_attempts\":3,\"target", "\"max_attempts\":2,\"target"));
          List<DarkApp> servers = new ArrayList<>();
          for (int i = 1; i <= SERVERS; i++) {
            DarkApp app = new DarkApp(store, "i-app" + i);
            app.start();
            servers.add(app);
          }
          Gateways gateways = new Gateways(folder);
          List<Gateways.Gateway> all = new ArrayList<>();
          for (int i = 1; i <= 2; i++) {
            String node = "front-a-" + i;
            all.add(gateways.add(node, "a", store.open()));
            gateways.start(all.get(i - 1));
          }
          gateways.awaitReady(30_000);
          Wire.sleep(4_000);
          List<Thread> clients = new ArrayList<>();
          for (int i = 0; i < 600; i++) {
            if (i == 100) {
              // The servers close the channels that are idle for a second.
              Wire.sleep(2_000);
            }
            if (i == 100 && trouble) {
              servers.get(0).goDark();
            }
            if (i == 475 && trouble) {
              servers.get(0).comeBack();
            }
            int number = i;
            clients.add(Wire.thread(() -> request(all.get(number % 2), "r" + number)));
            Wire.sleep(12);
          }
          for (Thread client : clients) {
            client.join();
          }
          gateways.killAll();
          Record.line(served + " requests were answered with 200");
          Record.line(unansweredAtTimeout + " were unanswered at the route's timeout_ms");
          Record.line(unansweredLater + " of these half a second later");
          Record.line(neverAnswered + " of these " + WAIT_MILLIS + " ms after they were sent");
          return 2 * unansweredLater.get() > unansweredAtTimeout.get();
        });
  }

  private static void request(Gateways.Gateway gateway, String id) throws IOException {
    long sent = Record.millis();
    String answer;
    try (Socket socket = new Socket()) {
      socket.connect(new InetSocketAddress("127.0.0.1", gateway.front), 1_000);
      socket.setSoTimeout(WAIT_MILLIS);
      sent = Record.millis();
      Wire.write(
          socket.getOutputStream(),
          "POST /app/seat HTTP/1.1",
          Map.of(
              "Host", Documents.APP,
              "Carobhoist-Request-Id", id,
              "Carobhoist-Deadline-Ms", "1500"),
          ("body of " + id).getBytes(StandardCharsets.US_ASCII));
      answer =
          "" + Wire.read(new BufferedInputStream(socket.getInputStream()), true).status();
    } catch (SocketTimeoutException e) {
      answer = "none";
      neverAnswered.incrementAndGet();
    }
    long took = Record.millis() - sent;
    Record.line("request " + id + " at " + gateway.node + " answer " + answer + " after " + took);
    served.addAndGet(answer.equals("200") ? 1 : 0);
    unansweredAtTimeout.addAndGet(took >= TIMEOUT_MILLIS ? 1 : 0);
    unansweredLater.addAndGet(took >= ALLOWED_MILLIS ? 1 : 0);
  }
}
