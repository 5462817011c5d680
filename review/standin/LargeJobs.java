package review;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Three trainers submit a batch job each 4 s, read it and end it. The rule that is checked is LOST:
 * a machine in touch passes a request from a kept channel on to a sound server and closes that
 * channel without an answer, more than three times.
 */
final class LargeJobs implements Lab.Scenario {

  private static final int CLIENTS = 8;
  private static final int ALLOWED = 3;
  private static final int TRAINERS = 3;
  private static final int ITEMS = 100;
  private static final int LARGE_ITEM_BYTES = 13_300;
  private static final int SMALL_ITEM_BYTES = 600;
  private static final int STEP_MS = 4000;
  private static final int LENGTH_MS = 80_000;

  private final AtomicInteger lost = new AtomicInteger();
  private final AtomicInteger served = new AtomicInteger();
  private final AtomicInteger accepted = new AtomicInteger();
  private volatile boolean ended;

  @Override
  public int play(Lab lab) throws Exception {
    lab.manifest(7,
        Lab.route("lookups", "/lohu930/", "idempotent", "wuno96b",
            ",\"timeout_ms\":5000,\"target_latency_ms\":600,\"max_attempts\":2")
            + "," + Lab.route("steps", "/pule252/", "rollout", "huvo11a",
                ",\"timeout_ms\":10000,\"target_latency_ms\":500,\"deadline_ms\":12000,"
                    + "\"max_attempts\":3,\"retention_s\":40"),
        Lab.plainService("wuno96b") + "," + Lab.engineService("huvo11a"));
    for (int i = 1; i <= 4; i++) {
      new Engine(lab, "i-" + i, "huvo11a", 10, 10);
    }
    List<Plain> servers =
        List.of(new Plain(lab, "i-8", "wuno96b", 400), new Plain(lab, "i-9", "wuno96b", 400));
    lab.startGateway("front-1");
    lab.startGateway("front-2");
    lab.awaitReady();
    Thread.sleep(3000);
    List<Thread> threads = new ArrayList<>();
    for (Lab.Gateway g : lab.gateways) {
      for (int i = 0; i < CLIENTS; i++) {
        int number = i;
        threads.add(Http.daemon("client", () -> client(lab, g, servers, number)));
      }
    }
    for (int i = 0; i < TRAINERS; i++) {
      int number = i;
      threads.add(Http.daemon("trainer", () -> trainer(lab, number)));
    }
    Thread.sleep(LENGTH_MS);
    ended = true;
    for (Thread t : threads) {
      t.join(7000);
    }
    int ends = lab.gateways.stream().mapToInt(g -> g.ends).sum();
    if (accepted.get() == 0 || served.get() == 0) {
      return 2;
    }
    return lab.verdict(lost.get() > ALLOWED, lost + " requests of kept channels lost at a server, "
        + served + " served; " + accepted + " batch jobs accepted; gateways ended by themselves "
        + ends + " times");
  }

  /** Submits a batch job each 4 s, at the other node if there is no 202; reads it and ends it. */
  private void trainer(Lab lab, int number) throws Exception {
    int bytes = lab.trouble ? LARGE_ITEM_BYTES : SMALL_ITEM_BYTES;
    String body = Base64.getEncoder().encodeToString(new byte[bytes]);
    for (int step = 0; !ended; step++) {
      long startedAt = System.nanoTime();
      String[] items = new String[ITEMS];
      for (int i = 0; i < ITEMS; i++) {
        items[i] = Lab.item("t" + number + "-" + step + "-" + i, 490, "")
            .replaceAll("\"body\":\"[^\"]*\"", "\"body\":\"" + body + "\"");
      }
      String id = "job" + number + "-" + step;
      String json = Lab.job(step, 1, items);
      if (step == 0) {
        lab.note("a batch job has " + json.length() + " bytes");
      }
      int status = 0;
      for (int i = 0; status != 202 && !ended; i++) {
        status = lab.submit(front(lab, number + step + i), "/pule252/7c41e0", id, json);
        Thread.sleep(status == 202 ? 2500 : 500);
      }
      accepted.addAndGet(status == 202 ? 1 : 0);
      Http.Message page = lab.call(front(lab, number + step), "GET", "/-/lots/" + id + "?after=99");
      lab.note(id + " read: " + (page == null ? "no answer" : page.status()
          + " " + page.text().replaceAll(",\"results\".*", "}")));
      lab.call(front(lab, number + step), "DELETE", "/-/lots/" + id);
      long spent = (System.nanoTime() - startedAt) / 1_000_000;
      Thread.sleep(Math.max(0, STEP_MS - spent));
    }
  }

  private static int front(Lab lab, int number) {
    return lab.gateways.get(number % 2).front;
  }

  /** Sends small requests on a kept channel, one after the other. */
  private void client(Lab lab, Lab.Gateway g, List<Plain> servers, int number) throws Exception {
    for (int n = 0; !ended; ) {
      try (Http.Channel c = Http.Channel.open(g.front)) {
        c.timeout(6000);
        while (!ended) {
          String id = g.name + "-" + number + "-" + n++;
          if (!ask(lab, c, servers, id)) {
            break;
          }
          Thread.sleep(50);
        }
      } catch (IOException e) {
        Thread.sleep(300);
      }
    }
  }

  private boolean ask(Lab lab, Http.Channel c, List<Plain> servers, String id) {
    try {
      c.write("POST /lohu930/2f HTTP/1.1\r\nHost: ficu95.example\r\nCarobhoist-Request-Id: " + id
          + "\r\nCarobhoist-Deadline-Ms: 3000\r\nContent-Length: 4\r\n\r\n", "body".getBytes());
      Http.Message answer = Http.read(c.in);
      if (answer == null) {
        throw new IOException("closed");
      }
      if (answer.status() == 200) {
        served.incrementAndGet();
      } else {
        lab.note(id + " answered " + answer.status());
      }
      return true;
    } catch (IOException e) {
      boolean passedOn = servers.stream().flatMap(s -> s.runs.stream())
          .anyMatch(r -> r.header("carobhoist-request-id").equals(id));
      lab.note(id + " got no answer, passed on " + passedOn + ": " + e);
      lost.addAndGet(passedOn ? 1 : 0);
      return false;
    }
  }
}
