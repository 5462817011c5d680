package review;

import java.util.List;

/**
 * Clients send paths and queries with characters that RFC 3986 allows. The rule that is checked is
 * UNASKED: a server runs a request with its method, path, query or body unchanged.
 */
final class Targets implements Lab.Scenario {

  private static final List<String> PLAIN = List.of("/lohu930/2f", "/lohu930/2f?a=1&b=2");

  private static final List<String> UNUSUAL = List.of(
      "/lohu930/a;v=1/b", "/lohu930/a//b", "/lohu930//b", "/lohu930/a%2Fb", "/lohu930/%7Euser",
      "/lohu930/a%20b", "/lohu930/2f?q=a%20b", "/lohu930/2f?q=a+b", "/lohu930/2f?q=%41",
      "/lohu930/2f?u=http://x.example/y", "/lohu930/2f?q=../x");

  @Override
  public int play(Lab lab) throws Exception {
    lab.manifest(7,
        Lab.route("lookups", "/lohu930/", "idempotent", "wuno96b",
            ",\"timeout_ms\":3000,\"target_latency_ms\":600,\"max_attempts\":2"),
        Lab.plainService("wuno96b"));
    Plain server = new Plain(lab, "i-1", "wuno96b", 5);
    lab.startGateway("front-1");
    lab.awaitReady();
    Thread.sleep(3000);
    int changed = 0;
    int refused = 0;
    List<String> targets = lab.trouble ? UNUSUAL : PLAIN;
    for (int i = 0; i < targets.size(); i++) {
      String id = "r" + i;
      String target = targets.get(i);
      String status;
      try (Http.Channel c = Http.Channel.open(lab.gateways.get(0).front)) {
        c.socket.setSoTimeout(6000);
        c.write("POST " + target + " HTTP/1.1\r\nHost: ficu95.example\r\nCarobhoist-Request-Id: "
            + id + "\r\nCarobhoist-Deadline-Ms: 2000\r\nContent-Length: 4\r\n\r\n",
            "body".getBytes());
        status = Integer.toString(Http.read(c.in).status());
      } catch (Exception e) {
        status = e.toString();
      }
      String seen = "";
      for (Http.Message m : server.runs) {
        if (m.header("carobhoist-request-id").equals(id)) {
          seen = m.target();
        }
      }
      boolean wrong = !seen.isEmpty() && !seen.equals(target);
      changed += wrong ? 1 : 0;
      refused += seen.isEmpty() ? 1 : 0;
      lab.note((wrong ? "CHANGED " : seen.isEmpty() ? "NOT RUN " : "same ") + target + " ran as "
          + seen + ", answered " + status);
    }
    return lab.verdict(changed > 0,
        changed + " of " + targets.size() + " requests ran with another path or query; "
            + refused + " not run");
  }
}
