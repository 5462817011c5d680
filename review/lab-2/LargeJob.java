import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/**
 * Submits a batch job of a size that the manifest allows, and checks that requests of other clients
 * on kept channels, which are at a sound server meanwhile, are answered.
 */
final class LargeJob {

  private static final int GATEWAYS = 3;
  private static final int CLIENTS = 8;

  /** Attempts of the trainer; it goes to another gateway after a channel without an answer. */
  private static final int ATTEMPTS = 2;

  private LargeJob() {}

  public static void main(String[] args) throws Exception {
    Case.main(
        args,
        (folder, trouble) -> {
          Store store = new Store();
          store.put("keyed.op", "config", Documents.manifest(1, "non_idempotent"));
          App app = new App(store, "i-app1");
          app.start();
          Gateways gateways = new Gateways(folder);
          List<Gateways.Gateway> all = new ArrayList<>();
          for (int i = 1; i <= GATEWAYS; i++) {
            String node = "front-a-" + i;
            all.add(gateways.add(node, "a", store.open()));
            gateways.start(all.get(i - 1));
          }
          gateways.awaitReady(30_000);
          Wire.sleep(4_000);
          KeptChannels clients = new KeptChannels(app);
          all.forEach(g -> clients.start(g, CLIENTS));
          Wire.sleep(3_000);
          submit(all, trouble ? Jobs.body(7_500, 2_000) : Jobs.body(120, 600));
          Wire.sleep(10_000);
          boolean broken = clients.endAndCheck();
          gateways.recordEnded();
          gateways.killAll();
          return broken;
        });
  }

  /** Sends the job to one gateway after the other until it is answered. */
  private static void submit(List<Gateways.Gateway> gateways, byte[] job) {
    for (int i = 0; i < ATTEMPTS; i++) {
      Gateways.Gateway g = gateways.get(i);
      Record.line("submit a job of " + job.length + " bytes at " + g.node);
      try {
        Wire.Message answer = Wire.call(g.front, "POST", "/steps/1", Jobs.headers("job1"), job, 9_500);
        Record.line("the job is answered with " + answer.status());
        if (answer.status() == 202) {
          return;
        }
      } catch (IOException e) {
        Record.line("the job isn't answered: " + e);
      }
    }
  }
}
