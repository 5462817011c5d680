import java.util.List;

/**
 * Stops the coordinator while an order of it is on the way to an engine, and checks the fences of
 * the orders in the order in which they reach the engine.
 */
final class LateOrder {

  /** Time for which the link holds back the order: a packet that is lost and sent again. */
  private static final long HELD_BACK_MILLIS = 500;

  /** Time from the order to the stop. A renewal that is due with the order has ended by then. */
  private static final long STOP_AFTER_MILLIS = 25;

  private static volatile String slowHolder = "";
  private static volatile boolean onTheWay;

  private LateOrder() {}

  public static void main(String[] args) throws Exception {
    Case.main(
        args,
        (folder, trouble) -> {
          Store store = new Store();
          store.put("keyed.op", "config", Documents.manifest(1, "idempotent"));
          Engine engine = new Engine(store, "i-engine1", "lm");
          engine.start(port -> Proxy.start(port, LateOrder::delay));
          Gateways gateways = new Gateways(folder);
          for (int i = 1; i <= 3; i++) {
            String node = "front-a-" + i;
            gateways.start(gateways.add(node, "a", store.open()));
          }
          gateways.awaitReady(30_000);
          Wire.sleep(5_000);
          Documents.nameVersion(store, 2);
          Wire.sleep(6_000);
          Gateways.Gateway first = gateways.coordinator();
          Record.line("coordinator is " + first.node);
          slowHolder = trouble ? first.node : "";
          Documents.nameVersion(store, 3);
          while (!onTheWay && engine.orders().size() < 2) {
            Wire.sleep(1);
          }
          Wire.sleep(STOP_AFTER_MILLIS);
          gateways.signal(first, "TERM");
          Wire.sleep(1_500);
          Documents.nameVersion(store, 4);
          Wire.sleep(10_000);
          gateways.killAll();
          return isLowerAfterHigher(engine.orders());
        });
  }

  private static long delay(String bytes) {
    boolean slow =
        !slowHolder.isEmpty()
            && bytes.startsWith("POST /-/order")
            && bytes.contains("\"holder\":\"" + slowHolder + "\"");
    if (slow) {
      Record.line("the link holds back an order of " + slowHolder);
      onTheWay = true;
    }
    return slow ? HELD_BACK_MILLIS : 0;
  }

  private static boolean isLowerAfterHigher(List<Engine.Order> orders) {
    long highest = 0;
    for (Engine.Order o : orders) {
      if (o.fence() < highest) {
        Record.line("fence " + o.fence() + " of " + o.holder() + " came after " + highest);
        return true;
      }
      highest = Math.max(highest, o.fence());
    }
    return false;
  }
}
