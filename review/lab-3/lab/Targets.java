package lab;

import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** Compares the request targets that clients send, plainly and as items, with those that run. */
final class Targets {

  /** Valid origin-form targets of RFC 3986 and RFC 9112; none has a dot segment. */
  private static final String[] UNUSUAL = {
    "a;rev=2", "rooms;zone=b/7", "x//y", "%7Ebench", "a%2fb", "list?when=2026-12-07%2010:00",
    "list?q=%41%2f"
  };

  private static final String[] USUAL = {"a", "rooms/7", "x/y", "bench", "list?q=1", "list?a=b&c=d"};

  private record Sent(String method, String target) {}

  public static void main(String[] args) throws Exception {
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    Record record = new Record(Path.of(args[0]));
    Path folder = Files.createTempDirectory("lab3");
    Store store = new Store();
    store.put("keyed.op", "config", Docs.manifest(3, 3, "m0"));
    Map<String, Sent> ran = new ConcurrentHashMap<>();
    for (int i = 1; i <= 2; i++) {
      new Engine("p-" + i, "app", "a", store, true, (engine, call, out) -> {
        ran.put(call.id(), new Sent(call.method(), call.target()));
        record.add("run", "server", engine.id, "id", call.id(), "method", call.method(), "target",
            call.target());
        Engine.answer(out, call, 200, "Carobhoist-Server-Stamp: " + Engine.stamp() + "\r\n",
            "ok".getBytes(StandardCharsets.US_ASCII));
      });
    }
    new Engine("i-1", "lm", "a", store, true, (engine, call, out) -> {
      ran.put(call.id(), new Sent(call.method(), call.target()));
      record.add("run", "server", engine.id, "id", call.id(), "method", call.method(), "target",
          call.target());
      engine.stream(out, call, "m0", 5, 10, "w");
    }, "m0");
    List<Gateway> all = new ArrayList<>();
    for (int i = 1; i <= 2; i++) {
      all.add(Gateway.create(folder, "front-" + i, "a", store.address(), ""));
    }
    Runtime.getRuntime().addShutdownHook(new Thread(() -> all.forEach(Gateway::end)));
    for (Gateway g : all) {
      g.start();
    }
    if (!Threads.await(30_000, () -> all.stream().allMatch(Gateway::isReady))) {
      record.add("end", "why", "the machines don't become ready");
      System.exit(2);
    }
    Threads.sleep(3_000);

    Map<String, Sent> sent = new LinkedHashMap<>();
    List<String> items = new ArrayList<>();
    int answered = 0;
    for (String path : trouble ? UNUSUAL : USUAL) {
      for (String method : new String[] {"GET", "POST"}) {
        String id = String.format("9c41d07be2a5%04x", sent.size());
        String target = "/plain/" + path;
        sent.put(id, new Sent(method, target));
        Wire.Answer a = Wire.call(all.get(sent.size() % 2).front, method, target, "jobs.example",
            "Carobhoist-Request-Id: " + id + "\r\nCarobhoist-Deadline-Ms: 1500\r\n", new byte[0],
            2_000);
        record.add("client", "id", id, "method", method, "target", target, "status", a.status());
        answered += a.status() == 200 ? 1 : 0;
      }
      String item = String.format("e5b2907c14da%04x", sent.size());
      sent.put(item, new Sent("POST", "/lot/3/" + path));
      items.add(Docs.item("m0", item, "/lot/3/" + path, "q83v"));
    }
    String job = "7c41e09b52d6a3f8";
    Wire.Answer accepted = Wire.submit(all.get(0).front, job,
        Docs.jobOf("m0", 0, 1, String.join(",", items)));
    record.add("job", "id", job, "items", items.size(), "status", accepted.status());
    Threads.await(10_000, () -> ran.size() == sent.size());

    boolean broken = false;
    for (Map.Entry<String, Sent> e : ran.entrySet()) {
      Sent want = sent.get(e.getKey());
      if (!e.getValue().equals(want)) {
        broken = true;
        record.add("BROKEN", "id", e.getKey(), "sent", want, "run", e.getValue());
      }
    }
    record.add("end", "sent", sent.size(), "run", ran.size(), "answered", answered, "broken",
        broken);
    System.exit(broken ? 1 : ran.size() == sent.size() ? 0 : 2);
  }
}
