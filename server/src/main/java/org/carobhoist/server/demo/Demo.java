package org.carobhoist.server.demo;

import com.linecorp.armeria.client.WebClient;
import java.io.PrintWriter;
import java.net.URI;
import java.time.Duration;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.CompletionException;
import java.util.concurrent.locks.LockSupport;
import org.carobhoist.core.profile.ProfileChange;
import org.carobhoist.core.settings.SettingsException;
import org.carobhoist.standin.EngineStandIn;

/**
 * Runs a small deployment in one JVM. Callers send requests, a trainer runs steps and announces new
 * weights, an engine crashes and restarts, and an operator changes a profile. Checks at the
 * endpoints and the clients verify every response and every sample.
 */
public final class Demo {

  static final String PROFILE = "horno";

  private static final long MAX_STALENESS = 1;
  private static final String PROFILE_DOCUMENT =
      "[profile]\nservice = horno-lm\nkind = engine\n[rollout]\nmax-staleness = 1\n";
  private static final String CHANGED_DOCUMENT =
      PROFILE_DOCUMENT + "[requests]\nmax-attempts = 5\n";
  private static final Duration IN_FORCE_TIMEOUT = Duration.ofSeconds(12);
  private static final Duration START_TIMEOUT = Duration.ofSeconds(20);
  private static final Duration POLL_INTERVAL = Duration.ofMillis(100);

  private final Duration duration;
  private final SplittableRandom random;
  private final PrintWriter out;
  private final RequestTally requests = new RequestTally();
  private final SampleTally samples = new SampleTally(MAX_STALENESS);
  private DemoCluster cluster;
  private long start;

  private Demo(Duration duration, long seed, PrintWriter out) {
    this.duration = duration;
    this.random = new SplittableRandom(seed);
    this.out = out;
  }

  /**
   * Creates a demo.
   *
   * @param duration duration of the load
   * @param seed random seed of the requests and of the choice of the crashing engine
   * @param out receives the progress and the final table
   */
  public static Demo create(Duration duration, long seed, PrintWriter out) {
    return new Demo(duration, seed, out);
  }

  /** Runs the demo and returns its results. */
  public DemoReport run() throws SettingsException, InterruptedException {
    print("starting a platform, 3 engines, 2 booking services, their sidecars and 2 entries");
    cluster = DemoCluster.start();
    try {
      long revision =
          cluster.change(ProfileChange.Kind.PUBLISH, PROFILE, 0, PROFILE_DOCUMENT).join();
      if (!awaitRevision(revision, START_TIMEOUT)) {
        throw new IllegalStateException("the entries did not apply the profile in time");
      }
      return runLoad(revision);
    } finally {
      cluster.stop();
    }
  }

  private DemoReport runLoad(long revision) throws InterruptedException {
    final CallerLoad callers = new CallerLoad(cluster.entries(), random.split(), requests);
    final TrainerLoop trainer = new TrainerLoop(cluster.entries(), samples);
    final EngineStandIn crashingEngine =
        cluster.engines().get(random.nextInt(cluster.engines().size()));
    print("entries: " + cluster.entries());
    start = System.nanoTime();
    callers.start();
    trainer.start();

    waitUntil(0.4, trainer);
    print("an engine crashes");
    crashingEngine.stop();
    waitUntil(0.55, trainer);
    print("the engine restarts with its initial weights");
    crashingEngine.setVersion(1);
    crashingEngine.start();
    waitUntil(0.7, trainer);
    final boolean inForce = changeProfile(revision);
    waitUntil(1, trainer);

    print("waiting for outstanding responses");
    callers.stop(cluster);
    trainer.stop();
    DemoReport report = new DemoReport(requests.counts(), samples.counts(), inForce);
    out.println();
    out.print(report.table());
    out.flush();
    return report;
  }

  private boolean changeProfile(long revision) {
    long changed =
        cluster.change(ProfileChange.Kind.CHANGE, PROFILE, revision, CHANGED_DOCUMENT).join();
    long from = System.nanoTime();
    boolean inForce = awaitRevision(changed, IN_FORCE_TIMEOUT);
    long millis = (System.nanoTime() - from) / 1_000_000;
    print(
        "an operator changes the profile; in force at every entry: "
            + inForce
            + ", "
            + millis
            + " ms");
    return inForce;
  }

  private boolean awaitRevision(long revision, Duration limit) {
    long end = System.nanoTime() + limit.toNanos();
    List<URI> entries = cluster.entries();
    while (!entries.stream().allMatch(entry -> hasRevision(entry, revision))) {
      if (System.nanoTime() > end) {
        return false;
      }
      LockSupport.parkNanos(POLL_INTERVAL.toNanos() / 10);
    }
    return true;
  }

  private static boolean hasRevision(URI entry, long revision) {
    try {
      String state = WebClient.of(entry).get("/state").aggregate().join().contentUtf8();
      return state.contains("\"revision\":" + revision + ",");
    } catch (CompletionException e) {
      return false;
    }
  }

  private void waitUntil(double fraction, TrainerLoop trainer) {
    long end = start + (long) (duration.toNanos() * fraction);
    long nextLine = System.nanoTime();
    while (System.nanoTime() < end) {
      if (System.nanoTime() >= nextLine) {
        printProgress(trainer);
        nextLine += Duration.ofSeconds(1).toNanos();
      }
      LockSupport.parkNanos(POLL_INTERVAL.toNanos());
    }
  }

  private void printProgress(TrainerLoop trainer) {
    RequestTally.Counts r = requests.counts();
    SampleTally.Counts s = samples.counts();
    out.printf(
        "\r%3d/%d s  requests %d: %d completed, %d not run, %d may have run  "
            + "steps %d  samples %d  weights %d ",
        elapsedSeconds(),
        duration.toSeconds(),
        r.sent(),
        r.completed(),
        r.notRun(),
        r.mayHaveRun(),
        s.steps(),
        s.samples(),
        trainer.version());
    out.flush();
  }

  private void print(String what) {
    out.printf("%n[%3d s] %s%n", start == 0 ? 0 : elapsedSeconds(), what);
    out.flush();
  }

  private long elapsedSeconds() {
    return Duration.ofNanos(System.nanoTime() - start).toSeconds();
  }
}
