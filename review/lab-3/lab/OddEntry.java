package lab;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Requests before and after the end of all processes, with an entry in the list of servers that
 * comes from another writer and can't be read.
 */
final class OddEntry {

  private static final long RECOVERY_MILLIS = 12_000;
  private static final int REQUESTS = 60;
  private static final long GAP_MILLIS = 100;

  /** A binary record with its length in front, big-endian, as logs and RPC frames have it. */
  private static final byte[] ENTRY = {
    0, 0, 0, 26, 10, 8, 'r', 'e', 's', 'e', 'r', 'v', 'a', 's', 18, 14, '1', '2', '7', '.', '0',
    '.', '0', '.', '1', ':', '8', '0', '8', '0'
  };

  public static void main(String[] args) throws Exception {
    String trouble = System.getenv().getOrDefault("TROUBLE", "1");
    boolean writesEntry = trouble.equals("1");
    boolean killsAll = !trouble.equals("0");
    Record record = new Record(Path.of(args[0]));
    Path folder = Files.createTempDirectory("lab3");
    Store store = new Store();
    store.put("keyed.op", "config", Docs.manifest(3, 3, "m0"));
    for (int i = 1; i <= 3; i++) {
      new Engine("i-app" + i, "app", "a", store, true, (engine, call, out) -> {
        record.add("run", "server", engine.id, "id", call.id());
        Engine.answer(out, call, 200, "Carobhoist-Server-Stamp: " + Engine.stamp() + "\r\n",
            new byte[] {'o', 'k'});
      });
      new Engine("i-lm" + i, "lm", "a", store, true,
          (engine, call, out) -> engine.stream(out, call, "m0", 24, 40, "w"), "m0");
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
    Threads.sleep(3_000);
    if (writesEntry) {
      record.add("entry", "key", "i-other", "bytes", ENTRY.length);
      store.putBytes("keyed.servers", "i-other", ENTRY);
    }
    Threads.sleep(3_000);
    int before = requests(record, all, "before");
    if (killsAll) {
      record.add("SIGKILL", "nodes", "all");
      all.forEach(Gateway::kill);
      Threads.sleep(1_200);
      for (Gateway g : all) {
        g.start();
      }
      record.add("start", "nodes", "all");
    }
    Threads.sleep(RECOVERY_MILLIS + 2_000);
    int after = requests(record, all, "after");
    for (Gateway g : all) {
      record.add("ready", "node", g.node, "alive", g.isAlive(), "ready", g.isReady());
    }
    boolean broken = before * 4 >= REQUESTS && after * 4 < REQUESTS;
    record.add("end", "sent", REQUESTS, "served_before", before, "served_after", after, "broken",
        broken);
    System.exit(broken ? 1 : before * 4 < REQUESTS ? 2 : 0);
  }

  /** Sends requests to machines in turn, each again at another one; returns how many are served. */
  private static int requests(Record record, List<Gateway> all, String phase) {
    AtomicInteger served = new AtomicInteger();
    for (int i = 0; i < REQUESTS; i++) {
      int status = 0;
      for (int attempt = 0; attempt < 2 && status != 200; attempt++) {
        String id = String.format("9c41%s%04x%02x", phase.equals("before") ? "b0" : "af", i, attempt);
        status = Wire.call(all.get((i + attempt) % all.size()).front, "POST", "/plain/a",
            "jobs.example", "Carobhoist-Request-Id: " + id + "\r\nCarobhoist-Deadline-Ms: 1500\r\n",
            new byte[] {'b'}, 2_000).status();
        record.add("client", "phase", phase, "id", id, "status", status);
      }
      served.addAndGet(status == 200 ? 1 : 0);
      Threads.sleep(GAP_MILLIS);
    }
    return served.get();
  }
}
