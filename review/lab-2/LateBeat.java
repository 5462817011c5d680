import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Takes the entry of a server away, lets an older heartbeat of the server be carried out late, and
 * checks that no request reaches the server later than the drain time after it was gone.
 */
final class LateBeat {

  private static final long DRAIN_MILLIS = 2_000;
  private static final long STABLE_WINDOW_MILLIS = 3_000;

  /** Times from the heartbeat that gets no answer. */
  private static final long REMOVED_MILLIS = 3_300;

  private static final long CARRIED_OUT_MILLIS = 5_600;
  private static final long EXPIRED_MILLIS = CARRIED_OUT_MILLIS + 3 * 1_200;
  private static final long EXIT_MILLIS = 9_900;

  private static final AtomicInteger served = new AtomicInteger();
  private static final AtomicInteger failed = new AtomicInteger();

  private LateBeat() {}

  public static void main(String[] args) throws Exception {
    Case.main(
        args,
        (folder, trouble) -> {
          Store store = new Store();
          store.put("keyed.op", "config", Documents.manifest(1, "non_idempotent"));
          App leaving = new App(store, "i-app1");
          App staying = new App(store, "i-app2");
          leaving.start();
          staying.start();
          Gateways gateways = new Gateways(folder);
          List<Gateways.Gateway> all = new ArrayList<>();
          for (int i = 1; i <= 2; i++) {
            String node = "front-a-" + i;
            all.add(gateways.add(node, "a", store.open()));
            gateways.start(all.get(i - 1));
          }
          gateways.awaitReady(30_000);
          Wire.sleep(4_000);
          String late = leaving.nextBeat();
          long beat = Record.millis();
          Record.line("a heartbeat of i-app1 gets no answer, the next ones do");
          Wire.sleep(REMOVED_MILLIS);
          leaving.leave();
          long gone = Record.millis();
          Record.line("the store has acknowledged that i-app1 is gone; i-app1 serves on");
          Wire.thread(
              () -> {
                sleepUntil(beat + CARRIED_OUT_MILLIS);
                if (trouble) {
                  store.put("keyed.servers", "i-app1", late);
                  Record.line("the older heartbeat is carried out: " + late);
                }
                sleepUntil(beat + EXPIRED_MILLIS);
                if (trouble) {
                  store.drop("keyed.servers", "i-app1");
                  Record.line("the entry of i-app1 expires: three heartbeats are missing");
                }
                sleepUntil(beat + EXIT_MILLIS);
                leaving.exit();
              });
          List<Thread> clients = new ArrayList<>();
          for (int i = 0; i < 450; i++) {
            int number = i;
            clients.add(Wire.thread(() -> request(all.get(number % 2), "r" + number)));
            Wire.sleep(20);
          }
          for (Thread client : clients) {
            client.join();
          }
          gateways.killAll();
          long tooLate = countAfter(leaving, gone + DRAIN_MILLIS);
          long inTouch = countAfter(leaving, beat + CARRIED_OUT_MILLIS + STABLE_WINDOW_MILLIS);
          Record.line(tooLate + " requests reached i-app1 later than drain_ms after it was gone");
          Record.line(inTouch + " of these stable_window_ms after the late heartbeat or later");
          Record.line(served + " requests were answered with 200, " + failed + " were not");
          return inTouch > 0;
        });
  }

  private static void sleepUntil(long millis) {
    Wire.sleep(Math.max(0, millis - Record.millis()));
  }

  private static long countAfter(App server, long millis) {
    return server.runs().stream().filter(at -> at > millis).count();
  }

  private static void request(Gateways.Gateway gateway, String id) {
    String answer;
    try {
      Map<String, String> headers =
          Map.of(
              "Host", Documents.APP,
              "Carobhoist-Request-Id", id,
              "Carobhoist-Deadline-Ms", "1500");
      byte[] body = ("body of " + id).getBytes(StandardCharsets.US_ASCII);
      answer =
          "" + Wire.call(gateway.front, "POST", "/app/seat", headers, body, 4_000).status();
    } catch (IOException e) {
      answer = e.toString();
    }
    (answer.equals("200") ? served : failed).incrementAndGet();
    if (!answer.equals("200")) {
      Record.line("request " + id + " at " + gateway.node + " answer " + answer);
    }
  }
}
