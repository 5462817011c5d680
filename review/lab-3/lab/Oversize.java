package lab;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A step of a trainer while two batch jobs of another client are open. One has a single long text;
 * the other has a single item that needs more memory than any server has, which servers reject as
 * if they were full.
 */
final class Oversize {

  private static final int SERVERS = 3;
  private static final int SLOTS = 8;
  private static final int MEMORY_TOKENS = 40_224;
  private static final int ITEMS = 40;
  private static final int EVENTS = 58;
  private static final long EVENT_MILLIS = 45;
  private static final int DEADLINE_MILLIS = 7_500;
  private static final int AWAY_MILLIS = 5_000;
  private static final String LONG = "a1000000000000ff";
  private static final int LONG_EVENTS = 178;
  private static final String LARGE = "b1000000000000ff";
  private static final Pattern NEXT = Pattern.compile("\"next\":(\\d+)");

  /** When each item was at a server last; Long.MAX_VALUE while it is there. */
  private final Map<String, Long> lastAtServer = new ConcurrentHashMap<>();

  private final Set<String> finished = ConcurrentHashMap.newKeySet();
  private final Record record;
  private int running;
  private long halfFullAt = -1;

  private Oversize(Record record) {
    this.record = record;
  }

  public static void main(String[] args) throws Exception {
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    Oversize it = new Oversize(new Record(Path.of(args[0])));
    Path folder = Files.createTempDirectory("lab3");
    Store store = new Store();
    store.put("keyed.op", "config", Docs.manifest(3, 3, "m0"));
    for (int i = 1; i <= SERVERS; i++) {
      new Engine("i-" + i, "lm", "a", store, true, it::serve, "m0");
    }
    List<Gateway> all = new ArrayList<>();
    for (int i = 1; i <= 2; i++) {
      all.add(Gateway.create(folder, "front-" + i, "a", store.address(), ""));
    }
    Runtime.getRuntime().addShutdownHook(new Thread(() -> all.forEach(Gateway::end)));
    for (Gateway g : all) {
      g.start();
    }
    if (!Threads.await(30_000, () -> all.stream().allMatch(Gateway::isReady))) {
      it.record.add("end", "why", "the machines don't become ready");
      System.exit(2);
    }
    Threads.sleep(8_000);
    it.submit(all, "7c41e09bfffffffe", Docs.item("m0", LONG, "/lot/3/" + LONG, "q83v"));
    Threads.sleep(500);
    if (trouble) {
      it.submit(all, "7c41e09bffffffff", Docs.item("m0", LARGE, "/lot/3/" + LARGE, "q83v")
          .replace("40,400", "20000,30000").replace("\"tokens\":440", "\"tokens\":50000"));
    }
    Threads.sleep(1_000);
    int listed = it.step(all);
    boolean broken = it.isLost();
    it.record.add("end", "listed", listed, "of", ITEMS, "broken", broken);
    System.exit(broken ? 1 : listed == 0 ? 2 : 0);
  }

  private void submit(List<Gateway> all, String job, String item) {
    int status = Wire.submit(all.get(0).front, job, "{\"items\":[" + item + "]}").status();
    record.add("job", "id", job, "items", 1, "status", status);
  }

  private void serve(Engine engine, Engine.Call call, OutputStream out) throws IOException {
    int tokens = 0;
    for (String n : call.headers().getOrDefault("carobhoist-token-counts", "0").split(",")) {
      tokens += Integer.parseInt(n.strip());
    }
    if (tokens > MEMORY_TOKENS) {
      record.add("not_run", "server", engine.id, "id", call.id());
      String head = "HTTP/1.1 503 Service Unavailable\r\nCarobhoist-Request-Id: " + call.id()
          + "\r\nCarobhoist-Not-Run: 1\r\nContent-Length: 0\r\n\r\n";
      out.write(head.getBytes(StandardCharsets.US_ASCII));
      out.flush();
      return;
    }
    record.add("run", "server", engine.id, "id", call.id());
    lastAtServer.put(call.id(), Long.MAX_VALUE);
    countRunning(1);
    try {
      int events = call.id().equals(LONG) ? LONG_EVENTS : EVENTS;
      engine.stream(out, call, "m0", events, EVENT_MILLIS, "w".repeat(320));
      finished.add(call.id());
    } finally {
      countRunning(-1);
      lastAtServer.put(call.id(), record.millis());
    }
  }

  private synchronized void countRunning(int change) {
    running += change;
    if (2 * running >= SERVERS * SLOTS) {
      halfFullAt = record.millis();
    }
  }

  /** Runs a step as a trainer does; returns the number of results read. */
  private int step(List<Gateway> all) {
    List<String> items = new ArrayList<>();
    for (int i = 0; i < ITEMS; i++) {
      String id = item(i);
      items.add(Docs.item("m0", id, "/lot/3/" + id, "q83vEjRWeJA=")
          .replace("\"group\":\"g1\"", "\"group\":\"g" + (1_000 + i / 8) + "\""));
    }
    String job = "7c41e09b52d6a3f8";
    String body = Docs.jobOf("m0", 0, 1, String.join(",", items))
        .replace("\"desired_count\":1", "\"desired_count\":5");
    int status = Wire.submit(all.get(1).front, job, body).status();
    long begin = record.millis();
    record.add("job", "id", job, "step", 0, "items", ITEMS, "status", status);
    int next = 0;
    while (record.millis() - begin < DEADLINE_MILLIS && next < ITEMS) {
      Wire.Answer a = Wire.call(all.get(0).front, "GET", "/-/lots/" + job + "?after=" + next,
          "jobs.example", "Carobhoist-Wait-Ms: 500\r\n", new byte[0], 2_000);
      Matcher n = NEXT.matcher(a.text());
      next = a.status() == 200 && n.find() ? Integer.parseInt(n.group(1)) : next;
    }
    Set<String> begun = new HashSet<>(lastAtServer.keySet());
    begun.removeIf(id -> !id.startsWith("c"));
    record.add("step_end", "ms", record.millis() - begin, "read", next, "begun",
        begun.size(), "half_full_at", halfFullAt);
    return next;
  }

  /** Judges a step that has just ended, before its job is ended. */
  private boolean isLost() {
    long now = record.millis();
    List<String> away = new ArrayList<>();
    int begun = 0;
    for (int i = 0; i < ITEMS; i++) {
      Long last = lastAtServer.get(item(i));
      begun += last == null ? 0 : 1;
      boolean isAway = last == null || now - last >= AWAY_MILLIS;
      if (isAway && !finished.contains(item(i))) {
        away.add(item(i));
      }
    }
    boolean underHalf = halfFullAt < 0 || now - halfFullAt >= AWAY_MILLIS;
    boolean lost = !away.isEmpty() && begun > 0 && underHalf;
    record.add(lost ? "BROKEN" : "judged", "begun", begun, "at_no_server_for_5_s",
        away.size(), "servers_under_half_full_for_5_s", underHalf);
    return lost;
  }

  private static String item(int i) {
    return String.format("c%015d", i);
  }
}
