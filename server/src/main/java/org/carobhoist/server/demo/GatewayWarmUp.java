package org.carobhoist.server.demo;

import com.linecorp.armeria.common.HttpStatus;
import java.time.Duration;
import java.util.concurrent.CompletionException;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;
import org.carobhoist.core.settings.SettingsException;
import org.carobhoist.platform.BootFile;
import org.carobhoist.server.gateway.GatewayService;
import org.carobhoist.standin.LoopbackPorts;
import org.carobhoist.standin.PlatformClient;
import org.carobhoist.standin.PlatformDocuments;
import org.carobhoist.standin.PlatformServerStandIn;
import org.carobhoist.standin.StoreStandIn;

/**
 * Runs a gateway against stand-ins of the users' platform in this process. The gateway becomes
 * ready, serves bookings, loads a weight version named in the store, and completes a job.
 */
public final class GatewayWarmUp {

  private static final Duration TIMEOUT = Duration.ofSeconds(20);
  private static final Duration POLL_INTERVAL = Duration.ofMillis(50);
  private static final int BOOKINGS = 20;
  private static final int WEIGHT_VERSION = 2;
  private static final String JOB = "job-1";

  private final StoreStandIn store = new StoreStandIn();
  private final PlatformServerStandIn appServer = new PlatformServerStandIn("app-1", false);
  private final PlatformServerStandIn engineServer = new PlatformServerStandIn("lm-1", true);
  private final int httpPort = LoopbackPorts.next();
  private final PlatformClient caller = PlatformClient.of(httpPort, TIMEOUT);

  private GatewayWarmUp() {}

  /**
   * Starts the gateway and the stand-ins, sends the requests and stops everything again.
   *
   * @return whether every request succeeded
   */
  public static boolean run() throws SettingsException {
    return new GatewayWarmUp().serve();
  }

  private boolean serve() throws SettingsException {
    store.start();
    appServer.start();
    engineServer.start();
    store.publish(1, "idempotent");
    store.register("app", appServer);
    store.register("lm", engineServer);
    String boot =
        PlatformDocuments.bootFile(
            "trial",
            httpPort,
            LoopbackPorts.next(),
            LoopbackPorts.nextPair(),
            store.uri().getAuthority());
    GatewayService gateway = GatewayService.create(BootFile.parse(boot));
    gateway.start().join();
    final boolean served = isServed();
    gateway.stop().join();
    appServer.stop();
    engineServer.stop();
    store.stop();
    return served;
  }

  private boolean isServed() {
    return await(() -> caller.ready().status().equals(HttpStatus.OK)) && book() && runJob();
  }

  private boolean book() {
    boolean all = true;
    for (int i = 0; i < BOOKINGS; i++) {
      all &= caller.book("seat " + i).status().equals(HttpStatus.OK);
    }
    return all;
  }

  private boolean runJob() {
    store.publishWeightVersion("m0", WEIGHT_VERSION);
    String job = PlatformDocuments.job(WEIGHT_VERSION, "a", "b", "c");
    return caller.submit(JOB, job).status().equals(HttpStatus.ACCEPTED)
        && await(() -> caller.results(JOB).contentUtf8().contains("next\":3"))
        && caller.item(JOB, "a").status().equals(HttpStatus.OK)
        && caller.endJob(JOB).status().equals(HttpStatus.OK);
  }

  private static boolean await(BooleanSupplier condition) {
    long until = System.nanoTime() + TIMEOUT.toNanos();
    while (System.nanoTime() < until) {
      if (isTrue(condition)) {
        return true;
      }
      LockSupport.parkNanos(POLL_INTERVAL.toNanos());
    }
    return false;
  }

  private static boolean isTrue(BooleanSupplier condition) {
    try {
      return condition.getAsBoolean();
    } catch (CompletionException e) {
      return false;
    }
  }
}
