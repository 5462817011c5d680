package review;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * The registry holds an entry of another writer. The rule that is checked is CONFIG: of the
 * requests that are unanswered at their route's timeout_ms, no more than a quarter (and fewer than
 * eight) have no answer half a second later.
 */
final class Foreign implements Lab.Scenario {

  private static final int CLIENTS = 12;
  private static final int TIMEOUT_MS = 3000;
  private static final int SLACK_MS = 500;

  private final AtomicInteger answered = new AtomicInteger();
  private final AtomicInteger atTimeout = new AtomicInteger();
  private final AtomicInteger silent = new AtomicInteger();
  private volatile boolean ended;

  @Override
  public int play(Lab lab) throws Exception {
    lab.manifest(7,
        Lab.route("lookups", "/lohu930/", "idempotent", "wuno96b",
            ",\"timeout_ms\":" + TIMEOUT_MS + ",\"target_latency_ms\":600,\"max_attempts\":2"),
        Lab.plainService("wuno96b"));
    new Plain(lab, "i-1", "wuno96b", 40);
    new Plain(lab, "i-2", "wuno96b", 40);
    lab.startGateway("front-1");
    lab.startGateway("front-2");
    lab.awaitReady();
    Thread.sleep(3000);
    if (lab.trouble) {
      lab.store.put("keyed.servers", "i-3", "{\"service\":\"wuno96b\",\"address\":\""
          + "?:9080"
          + "\",\"zone\":\"zone-a\",\"version\":\"v1\",\"slots\":64,\"state\":\"ready\","
          + "\"cold_remaining_ms\":0,\"sequence\":1,\"born\":1}");
      lab.note("an entry of another writer is in the registry");
    }
    List<Thread> clients = new ArrayList<>();
    for (Lab.Gateway g : lab.gateways) {
      for (int i = 0; i < CLIENTS; i++) {
        int number = i;
        clients.add(Http.daemon("client", () -> client(lab, g, number)));
      }
    }
    Thread.sleep(15_000);
    ended = true;
    for (Thread t : clients) {
      t.join(5000);
    }
    int late = atTimeout.get();
    return lab.verdict(silent.get() >= 8 && 2 * silent.get() > late,
        late + " requests were unanswered at their route's timeout, " + silent
            + " of them half a second later; " + answered + " answered");
  }

  private void client(Lab lab, Lab.Gateway g, int number) throws Exception {
    for (int n = 0; !ended; n++) {
      String id = g.name + "-" + number + "-" + n;
      try (Http.Channel c = Http.Channel.open(g.front)) {
        c.write("POST /lohu930/2f HTTP/1.1\r\nHost: ficu95.example\r\nCarobhoist-Request-Id: " + id
            + "\r\nCarobhoist-Deadline-Ms: 5000\r\nContent-Length: 4\r\n\r\n", "body".getBytes());
        double sentAt = lab.seconds();
        c.timeout(TIMEOUT_MS + SLACK_MS);
        try {
          Http.Message answer = Http.read(c.in);
          double took = lab.seconds() - sentAt;
          answered.incrementAndGet();
          if (took * 1000 > TIMEOUT_MS) {
            atTimeout.incrementAndGet();
          }
          if (answer.status() != 200) {
            lab.note(String.format("%s answered %d after %.3f s", id, answer.status(), took));
          }
        } catch (IOException e) {
          atTimeout.incrementAndGet();
          silent.incrementAndGet();
          lab.note(id + " has no answer: " + e);
        }
        Thread.sleep(20);
      }
    }
  }
}
