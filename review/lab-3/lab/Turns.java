package lab;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * Orders of two holders to one server that doesn't check fences: the leader is killed and starts
 * again, and the machine that has taken over is stopped for planned work.
 */
final class Turns {

  private static final long LEASE_MILLIS = 3_000;
  private static final String[] MODELS = {"m0", "m1", "m2", "m3"};

  private record Order(long at, String server, String holder, long fence) {}

  public static void main(String[] args) throws Exception {
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    Record record = new Record(Path.of(args[0]));
    Path folder = Files.createTempDirectory("lab3");
    Store store = new Store();
    store.put("keyed.op", "config", Docs.manifest(3, 3, MODELS));
    List<Order> orders = new ArrayList<>();
    for (int i = 1; i <= 3; i++) {
      Engine e = new Engine("i-" + i, "lm", "a", store, false,
          (engine, call, out) -> engine.stream(out, call, "m0", 20, 20, "w"), MODELS);
      e.setOrderListener((engine, holder, fence, model, version, status) -> {
        synchronized (orders) {
          orders.add(new Order(record.millis(), engine.id, holder, fence));
        }
        record.add("order", "server", engine.id, "holder", holder, "fence", fence, "model", model,
            "version", version, "status", status);
      });
    }
    List<Gateway> all = new ArrayList<>();
    for (int i = 1; i <= 3; i++) {
      all.add(Gateway.create(folder, "front-" + i, "a", store.address(),
          "bounds.fencing_required=false"));
    }
    Runtime.getRuntime().addShutdownHook(new Thread(() -> all.forEach(Gateway::end)));
    Gateway first = all.get(2);
    first.start();
    Threads.await(20_000, () -> first.newestTerm() >= 0);
    all.get(0).start();
    all.get(1).start();
    if (!Threads.await(30_000, () -> all.stream().allMatch(Gateway::isReady))) {
      record.add("end", "why", "the machines don't become ready");
      System.exit(2);
    }
    Threads.sleep(5_000);
    // Four trainers; each names a version every four seconds.
    Threads.start("trainers", () -> {
      for (int k = 0; k < 40; k++) {
        name(record, store, MODELS[k % 4], 2 + k / 4);
        Threads.sleep(1_000);
      }
    });
    Threads.sleep(6_000);
    record.add("leader", "node", Gateway.leader(all).node);
    int before = count(orders);
    if (!Threads.await(5_000, () -> count(orders) > before)) {
      record.add("end", "why", "the leader gives no orders");
      System.exit(2);
    }
    if (trouble) {
      Threads.sleep(50);
      record.add("SIGKILL", "node", first.node);
      first.kill();
      Threads.sleep(200);
      record.add("start", "node", first.node);
      first.start();
      if (!Threads.await(8_000, () -> Gateway.leader(all) != first
          && ordered(orders, Gateway.leader(all).node))) {
        record.add("end", "why", "no other machine has taken over");
        System.exit(2);
      }
      Threads.sleep(700);
      Gateway second = Gateway.leader(all);
      record.add("SIGTERM", "node", second.node);
      second.terminate();
    }
    Threads.sleep(12_000);
    boolean broken = false;
    synchronized (orders) {
      for (int k = 2; k < orders.size(); k++) {
        broken |= takesTurn(record, orders, k);
      }
    }
    record.add("end", "orders", orders.size(), "broken", broken);
    System.exit(broken ? 1 : orders.isEmpty() ? 2 : 0);
  }

  private static int count(List<Order> orders) {
    synchronized (orders) {
      return orders.size();
    }
  }

  private static boolean ordered(List<Order> orders, String node) {
    synchronized (orders) {
      return orders.stream().anyMatch(o -> o.holder().equals(node));
    }
  }

  /** Returns whether an order is the third of holders A, B, A at its server in the lease's time. */
  private static boolean takesTurn(Record record, List<Order> orders, int k) {
    Order last = orders.get(k);
    for (int i = 0; i < k; i++) {
      for (int j = i + 1; j < k; j++) {
        Order a = orders.get(i);
        Order b = orders.get(j);
        if (a.server().equals(last.server()) && b.server().equals(last.server())
            && a.holder().equals(last.holder()) && !b.holder().equals(last.holder())
            && last.at() - a.at() < LEASE_MILLIS) {
          record.add("BROKEN", "first", a, "second", b, "third", last);
          return true;
        }
      }
    }
    return false;
  }

  private static void name(Record record, Store store, String model, int version) {
    record.add("version", "model", model, "version", version);
    store.put("keyed.op", "version/" + model,
        "{\"model\":\"" + model + "\",\"version\":" + version + "}");
  }
}
