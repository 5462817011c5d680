package review;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/** A server of a plain service, as PROTOCOL.md describes it. */
final class Plain {

  final String id;
  final int port;
  private final Lab lab;
  private final int workMs;

  /** What reached the server and was run. */
  final List<Http.Message> runs = new CopyOnWriteArrayList<>();

  Plain(Lab lab, String id, String service, int workMs) throws Exception {
    this.lab = lab;
    this.id = id;
    this.workMs = workMs;
    this.port = Http.serve(id, this::handle);
    Http.daemon(id + "-beat", () -> {
      for (int sequence = 1; ; sequence++) {
        lab.store.put("keyed.servers", id,
            "{\"service\":\"" + service + "\",\"address\":\"127.0.0.1:" + port
                + "\",\"zone\":\"zone-a\",\"version\":\"v1\",\"slots\":64,\"state\":\"ready\","
                + "\"cold_remaining_ms\":0,\"sequence\":" + sequence + ",\"born\":1}");
        Thread.sleep(1200);
      }
    });
  }

  private void handle(Http.Message request, Http.Channel channel) throws Exception {
    String expected = request.header("carobhoist-expect-instance");
    String request0 = request.header("carobhoist-request-id");
    if (!expected.isEmpty() && !expected.equals(id)) {
      channel.answer(421, "Carobhoist-Instance-Id: " + id + "\r\n", new byte[0]);
      return;
    }
    if (request.target().equals("/health")) {
      channel.answer(200, "Carobhoist-Instance-Id: " + id + "\r\n", new byte[0]);
      return;
    }
    runs.add(request);
    lab.note(id + " runs " + request0 + " " + request.method() + " " + Lab.cut(request.target())
        + " with " + request.body().length + " bytes");
    Thread.sleep(workMs);
    channel.answer(200, "Carobhoist-Request-Id: " + request0 + "\r\nCarobhoist-Server-Stamp: "
        + id + "." + request0 + "\r\n", ("answer to " + request0).getBytes());
    lab.note(id + " answered " + request0);
  }
}
