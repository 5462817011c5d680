package review;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * The server of the reward calls answers the first call with a 500 and sends that answer once more,
 * late, at the point where the next answer on the channel is expected. The rule that is checked is
 * MIXED: no item is `dead` before max_attempts answers of 500.
 */
final class ExtraAnswer implements Lab.Scenario {

  private static final int MAX_ATTEMPTS = 2;

  private final Map<String, Integer> runs = new ConcurrentHashMap<>();
  private final Map<Http.Channel, byte[]> extra = new ConcurrentHashMap<>();

  @Override
  public int play(Lab lab) throws Exception {
    lab.manifest(7,
        Lab.route("steps", "/pule252/", "rollout", "huvo11a",
            ",\"timeout_ms\":10000,\"target_latency_ms\":500,\"deadline_ms\":12000,"
                + "\"max_attempts\":3,\"retention_s\":40")
            + "," + Lab.route("scores", "/pufi791/", "idempotent", "wuno96b",
                ",\"timeout_ms\":1500,\"target_latency_ms\":192,\"max_attempts\":" + MAX_ATTEMPTS),
        Lab.engineService("huvo11a") + "," + Lab.plainService("wuno96b"));
    new Engine(lab, "i-1", "huvo11a", 5, 20);
    int port = Http.serve("i-9", (request, channel) -> score(lab, request, channel));
    lab.store.put("keyed.servers", "i-9", "{\"service\":\"wuno96b\",\"address\":\"127.0.0.1:" + port
        + "\",\"zone\":\"zone-a\",\"version\":\"v1\",\"slots\":8,\"state\":\"ready\","
        + "\"cold_remaining_ms\":0,\"sequence\":1,\"born\":1}");
    lab.startGateway("front-1");
    lab.awaitReady();
    Thread.sleep(2000);
    int front = lab.gateways.get(0).front;
    String scorer = ",\"scorer\":{\"id\":\"sc-0\",\"host\":\"ficu95.example\","
        + "\"path\":\"/pufi791/5e07\",\"body\":\"3q2+7w==\"}";
    if (lab.submit(front, "/pule252/7c41e0", "job0", Lab.job(0, 1, Lab.item("a0", 245, scorer)))
        != 202) {
      return 2;
    }
    Thread.sleep(4000);
    Http.Message page = lab.call(front, "GET", "/-/lots/job0?after=0");
    if (page == null || !page.text().contains("\"next\":1,")) {
      return 2;
    }
    lab.note(page.text());
    return lab.verdict(page.text().contains("\"dead\""),
        "the server ran the call " + runs + " times and answered 500 once: " + page.text());
  }

  private void score(Lab lab, Http.Message request, Http.Channel channel) throws Exception {
    String id = request.header("carobhoist-request-id");
    byte[] late = extra.remove(channel);
    if (late != null) {
      channel.write("", late);
      lab.note("the first answer comes once more");
    }
    int run = runs.merge(id, 1, Integer::sum);
    String head = "Carobhoist-Request-Id: " + id + "\r\nCarobhoist-Server-Stamp: i-9." + run
        + "\r\nContent-Length: 2\r\n\r\nxx";
    lab.note("i-9 runs " + id + ", run " + run);
    channel.write("HTTP/1.1 " + (run == 1 ? "500" : "200") + " X\r\n" + head, new byte[0]);
    if (run == 1 && lab.trouble) {
      extra.put(channel, ("HTTP/1.1 500 X\r\n" + head).getBytes());
    }
  }
}
