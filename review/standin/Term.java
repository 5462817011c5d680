package review;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * A gateway gets SIGTERM; clients go on using their kept channels. The rule that is checked is
 * LOST, around planned work: a process has read a whole request, has passed it on to a server, and
 * the channel ends without a complete answer. Requests that were sent no later than 3 s after the
 * SIGTERM and at which the server is at work in the last sixth of grace_s are excused.
 */
final class Term implements Lab.Scenario {

  private static final int GRACE_MS = 8000;
  private static final int WORK_MS = 4600;
  private static final int CLIENTS = 6;
  private static final double EXCUSED_S = 3.0;

  private final List<String> lost = new CopyOnWriteArrayList<>();
  private volatile double termAt = 1000;

  @Override
  public int play(Lab lab) throws Exception {
    lab.manifest(7,
        Lab.route("bookings", "/lohu930/", "non_idempotent", "wuno96b",
            ",\"timeout_ms\":10000,\"target_latency_ms\":6000,\"max_attempts\":2")
            + "," + Lab.route("lookups", "/pufi791/", "idempotent", "reka22c",
                ",\"timeout_ms\":1500,\"target_latency_ms\":192,\"max_attempts\":2"),
        Lab.plainService("wuno96b") + "," + Lab.plainService("reka22c"));
    List<Plain> slow = List.of(
        new Plain(lab, "i-1", "wuno96b", WORK_MS), new Plain(lab, "i-2", "wuno96b", WORK_MS));
    new Plain(lab, "i-3", "reka22c", 30);
    Lab.Gateway front = lab.startGateway("front-1");
    lab.startGateway("front-2");
    lab.awaitReady();
    Thread.sleep(3000);
    List<Thread> clients = new ArrayList<>();
    for (int i = 0; i < CLIENTS; i++) {
      String id = "early-" + i;
      clients.add(Http.daemon(id, () -> early(lab, front, slow, id)));
      String other = "kept-" + i;
      clients.add(Http.daemon(other, () -> kept(lab, front, slow, other)));
    }
    Thread.sleep(1500);
    termAt = lab.seconds();
    if (lab.trouble) {
      front.stopGracefully();
      Thread.sleep(GRACE_MS);
      front.stop();
    }
    for (Thread t : clients) {
      t.join(15_000);
    }
    return lab.verdict(!lost.isEmpty(), lost.size() + " requests, passed on to a server, got no "
        + "complete answer: " + lost);
  }

  /** Sends a request half a second before the SIGTERM. */
  private void early(Lab lab, Lab.Gateway g, List<Plain> servers, String id) throws Exception {
    Thread.sleep(1000);
    try (Http.Channel c = Http.Channel.open(g.front)) {
      ask(lab, c, servers, "/lohu930/2f", id);
    }
  }

  /** Sends a lookup, and on the same channel a booking 3.8 s after the SIGTERM. */
  private void kept(Lab lab, Lab.Gateway g, List<Plain> servers, String id) throws Exception {
    try (Http.Channel c = Http.Channel.open(g.front)) {
      ask(lab, c, servers, "/pufi791/2f", id + "-lookup");
      Thread.sleep(1500 + 3800);
      ask(lab, c, servers, "/lohu930/2f", id + "-booking");
    }
  }

  private void ask(Lab lab, Http.Channel c, List<Plain> servers, String path, String id) {
    c.timeout(9500);
    double sentAt = lab.seconds();
    try {
      c.write("POST " + path + " HTTP/1.1\r\nHost: ficu95.example\r\nCarobhoist-Request-Id: " + id
          + "\r\nCarobhoist-Deadline-Ms: 9000\r\nContent-Length: 4\r\n\r\n", "body".getBytes());
      Http.Message answer = Http.read(c.in);
      if (answer == null) {
        throw new IOException("closed");
      }
      lab.note(String.format("%s, sent %.1f s after the SIGTERM, answered %d", id, sentAt - termAt,
          answer.status()));
    } catch (IOException e) {
      boolean passedOn = servers.stream().flatMap(s -> s.runs.stream())
          .anyMatch(r -> r.header("carobhoist-request-id").equals(id));
      lab.note(String.format("%s, sent %.1f s after the SIGTERM, got no answer after %.1f s, passed"
          + " on %b: %s", id, sentAt - termAt, lab.seconds() - termAt, passedOn, e));
      if (passedOn && sentAt - termAt > EXCUSED_S) {
        lost.add(id);
      }
    }
  }
}
