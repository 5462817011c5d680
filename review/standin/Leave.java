package review;

import java.io.IOException;
import java.net.SocketTimeoutException;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Clients close their channels while an idempotent request runs. The rule that is checked is GONE:
 * half a second later servers are still at work on a quarter of these requests at most, and no more
 * than a few requests reach a server after that.
 */
final class Leave implements Lab.Scenario {

  private static final int REQUESTS = 40;
  private static final int WORK_MS = 3000;
  private static final int LEAVE_MS = 300;
  private static final int SLACK_MS = 500;

  private final Map<String, Double> leftAt = new ConcurrentHashMap<>();
  private final Map<String, Double> endedAt = new ConcurrentHashMap<>();
  private final List<String> late = new CopyOnWriteArrayList<>();
  private final AtomicInteger served = new AtomicInteger();

  @Override
  public int play(Lab lab) throws Exception {
    lab.manifest(7,
        Lab.route("lookups", "/lohu930/", "idempotent", "wuno96b",
            ",\"timeout_ms\":8000,\"target_latency_ms\":600,\"max_attempts\":2"),
        Lab.plainService("wuno96b"));
    for (String id : List.of("i-1", "i-2")) {
      int port = Http.serve(id, (request, channel) -> work(lab, id, request, channel));
      Http.daemon(id + "-beat", () -> {
        for (int sequence = 1; ; sequence++) {
          lab.store.put("keyed.servers", id,
              "{\"service\":\"wuno96b\",\"address\":\"127.0.0.1:" + port
                  + "\",\"zone\":\"zone-a\",\"version\":\"v1\",\"slots\":64,\"state\":\"ready\","
                  + "\"cold_remaining_ms\":0,\"sequence\":" + sequence + ",\"born\":1}");
          Thread.sleep(1200);
        }
      });
    }
    lab.startGateway("front-1");
    lab.startGateway("front-2");
    lab.awaitReady();
    Thread.sleep(3000);
    for (int i = 0; i < REQUESTS; i++) {
      String id = "r" + i;
      Lab.Gateway g = lab.gateways.get(i % 2);
      Http.daemon(id, () -> client(lab, g, id));
      Thread.sleep(100);
    }
    Thread.sleep(WORK_MS + 2000);
    int still = 0;
    for (Map.Entry<String, Double> e : leftAt.entrySet()) {
      double delay = endedAt.getOrDefault(e.getKey(), lab.seconds()) - e.getValue();
      lab.note(String.format("%s: the server was told %.3f s after the client left", e.getKey(),
          delay));
      still += delay * 1000 > SLACK_MS ? 1 : 0;
    }
    int left = leftAt.size();
    return lab.verdict(4 * still > left && left > 0 || late.size() > 5,
        still + " of " + left + " requests were still at work " + SLACK_MS
            + " ms after their client had left; " + late.size() + " reached a server after that; "
            + served + " served");
  }

  private void work(Lab lab, String server, Http.Message request, Http.Channel channel)
      throws Exception {
    String id = request.header("carobhoist-request-id");
    lab.note(server + " runs " + id);
    Double left = leftAt.get(id);
    if (left != null && lab.seconds() - left > SLACK_MS / 1000.0) {
      late.add(id);
    }
    channel.socket.setSoTimeout(WORK_MS);
    try {
      if (channel.in.read() < 0) {
        endedAt.put(id, lab.seconds());
        lab.note(server + " drops " + id + ", its channel was closed");
        throw new IOException("closed");
      }
    } catch (SocketTimeoutException e) {
      endedAt.put(id, lab.seconds());
      channel.socket.setSoTimeout(0);
      lab.note(server + " answers " + id);
      channel.answer(200, "Carobhoist-Request-Id: " + id + "\r\nCarobhoist-Server-Stamp: " + server
          + "." + id + "\r\n", "answer".getBytes());
    }
  }

  private void client(Lab lab, Lab.Gateway g, String id) throws Exception {
    try (Http.Channel c = Http.Channel.open(g.front)) {
      c.socket.setSoTimeout(6000);
      c.write("POST /lohu930/2f HTTP/1.1\r\nHost: ficu95.example\r\nCarobhoist-Request-Id: " + id
          + "\r\nCarobhoist-Deadline-Ms: 6000\r\nContent-Length: 4\r\n\r\n", "body".getBytes());
      if (lab.trouble) {
        Thread.sleep(LEAVE_MS);
        leftAt.put(id, lab.seconds());
        lab.note(id + " leaves");
        return;
      }
      int status = Http.read(c.in).status();
      lab.note(id + " answered " + status);
      served.addAndGet(status == 200 ? 1 : 0);
    }
  }
}
