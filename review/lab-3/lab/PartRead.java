package lab;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A step of a trainer during which the leader is killed, while the store is slow and the batch job
 * of another trainer is being accepted.
 */
final class PartRead {

  private static final int SERVERS = 3;
  private static final int SLOTS = 8;
  private static final int ITEMS = 40;
  private static final int EVENTS = 58;
  private static final long EVENT_MILLIS = 45;
  private static final int DEADLINE_MILLIS = 12_000;
  private static final int AWAY_MILLIS = 5_000;
  private static final int STABLE_MILLIS = 3_000;

  /** 50 times the store's usual time for an answer. */
  private static final long SLOW_MILLIS = 200;

  private static final int SLOW_FOR_MILLIS = 2_000;
  private static final int SUBMIT_AT_MILLIS = 600;
  private static final int OTHER_ITEMS = 192;
  private static final int OTHER_BODY = 3_600;
  private static final Pattern NEXT = Pattern.compile("\"next\":(\\d+)");

  private final Map<String, Long> leftServerAt = new ConcurrentHashMap<>();
  private final Set<String> finished = ConcurrentHashMap.newKeySet();
  private final Record record;
  private int running;
  private long halfFullAt = -1;

  private PartRead(Record record) {
    this.record = record;
  }

  public static void main(String[] args) throws Exception {
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    PartRead it = new PartRead(new Record(Path.of(args[0])));
    Record record = it.record;
    Path folder = Files.createTempDirectory("lab3");
    Store store = new Store();
    store.put("keyed.op", "config",
        Docs.manifest(3, 3, "m0").replace("\"deadline_ms\":7500", "\"deadline_ms\":12000"));
    for (int i = 1; i <= SERVERS; i++) {
      new Engine("i-" + i, "lm", "a", store, true, it::serve, "m0");
    }
    List<Gateway> all = new ArrayList<>();
    for (int i = 1; i <= 3; i++) {
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
    Threads.sleep(8_000);
    Gateway leader = Gateway.leader(all);
    Gateway reader = all.get(0) == leader ? all.get(1) : all.get(0);
    List<String> items = new ArrayList<>();
    for (int i = 0; i < ITEMS; i++) {
      items.add(item(i));
    }
    String job = "7c41e09b52d6a3f8";
    int status = Wire.submit(reader.front, job, Docs.job("m0", 0, 1, items, "q83vEjRWeJA="))
        .status();
    long begin = record.millis();
    record.add("job", "id", job, "step", 0, "items", ITEMS, "status", status);
    Threads.sleep(300);

    long slowFrom = record.millis();
    if (trouble) {
      store.setDelay(SLOW_MILLIS);
      record.add("store", "slow_ms", SLOW_MILLIS);
    }
    Threads.sleep(50);
    if (trouble) {
      record.add("SIGKILL", "node", leader.node);
      leader.kill();
      Threads.sleep(200);
      leader.start();
      record.add("start", "node", leader.node);
    }
    Threads.sleep(Math.max(0, slowFrom + SUBMIT_AT_MILLIS - record.millis()));
    List<String> others = new ArrayList<>();
    for (int i = 0; i < OTHER_ITEMS; i++) {
      others.add(String.format("d%015d", i));
    }
    String body = Base64.getEncoder().encodeToString(new byte[OTHER_BODY]);
    Threads.start("other", () -> {
      String text = Docs.job("m0", 0, 1, others, body);
      int answer = Wire.submit(reader.front, "7c41e09b0000000d", text).status();
      record.add("job", "id", "7c41e09b0000000d", "bytes", text.length(), "status", answer);
    });
    Threads.sleep(Math.max(0, slowFrom + SLOW_FOR_MILLIS - record.millis()));
    store.setDelay(0);
    record.add("store", "slow_ms", 0);
    long steadyFrom = record.millis() + (trouble ? STABLE_MILLIS : 0);
    int next = 0;
    while (record.millis() - begin < DEADLINE_MILLIS && next < ITEMS) {
      Wire.Answer a = Wire.call(reader.front, "GET", "/-/lots/" + job + "?after=" + next,
          "jobs.example", "Carobhoist-Wait-Ms: 500\r\n", new byte[0], 2_000);
      Matcher n = NEXT.matcher(a.text());
      next = a.status() == 200 && n.find() ? Integer.parseInt(n.group(1)) : next;
    }
    record.add("step_end", "ms", record.millis() - begin, "read", next);
    boolean broken = it.isLost(steadyFrom);
    Threads.sleep(10_000);
    Wire.Answer later = Wire.call(reader.front, "GET", "/-/lots/" + job + "?after=0",
        "jobs.example", "", new byte[0], 2_000);
    Matcher n = NEXT.matcher(later.text());
    record.add("end", "listed_10_s_later", n.find() ? n.group(1) : "-", "of", ITEMS, "broken",
        broken);
    System.exit(broken ? 1 : next == 0 ? 2 : 0);
  }

  private void serve(Engine engine, Engine.Call call, OutputStream out) throws IOException {
    record.add("run", "server", engine.id, "id", call.id(), "after",
        call.headers().getOrDefault("last-event-id", "-"));
    leftServerAt.put(call.id(), Long.MAX_VALUE);
    countRunning(1);
    try {
      boolean isOther = call.id().startsWith("d");
      engine.stream(out, call, "m0", isOther ? 5 : EVENTS, EVENT_MILLIS, "w".repeat(320));
      finished.add(call.id());
    } finally {
      countRunning(-1);
      leftServerAt.put(call.id(), record.millis());
    }
  }

  private synchronized void countRunning(int change) {
    running += change;
    if (2 * running >= SERVERS * SLOTS) {
      halfFullAt = record.millis();
    }
  }

  /** Judges the step at the moment at which its time is up. */
  private boolean isLost(long steadyFrom) {
    long now = record.millis();
    int away = 0;
    int begun = 0;
    for (int i = 0; i < ITEMS; i++) {
      Long left = leftServerAt.get(item(i));
      begun += left == null ? 0 : 1;
      long since = Math.max(steadyFrom, left == null ? 0 : left);
      away += !finished.contains(item(i)) && now - since >= AWAY_MILLIS ? 1 : 0;
    }
    boolean underHalf = now - halfFullAt >= AWAY_MILLIS;
    boolean lost = away > 0 && begun > 0 && underHalf;
    record.add(lost ? "BROKEN" : "judged", "begun", begun, "at_no_server_for_5_s_of_steady_state",
        away, "servers_under_half_full_for_5_s", underHalf);
    return lost;
  }

  private static String item(int i) {
    return String.format("c%015d", i);
  }
}
