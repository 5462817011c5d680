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
  private static final String DOCUMENT =
      "[profile]\nservice = horno-lm\nkind = engine\n[rollout]\nmax-staleness = 1\n";
  private static final String CHANGED = DOCUMENT + "[requests]\nmax-attempts = 5\n";
  private static final Duration IN_FORCE_LIMIT = Duration.ofSeconds(12);
  private static final Duration START_LIMIT = Duration.ofSeconds(20);
  private static final Duration POLL = Duration.ofMillis(100);

  private final Duration time;
  private final SplittableRandom random;
  private final PrintWriter out;
  private final RequestTally requests = new RequestTally();
  private final SampleTally samples = new SampleTally(MAX_STALENESS);
  private DemoCluster cluster;
  private long start;

  private Demo(Duration time, long seed, PrintWriter out) {
    this.time = time;
    this.random = new SplittableRandom(seed);
    this.out = out;
  }

  /**
   * Creates a demo.
   *
   * @param time duration of the load
   * @param seed random seed of the requests and of the choice of the crashing engine
   * @param out receives the progress and the final table
   */
  public static Demo create(Duration time, long seed, PrintWriter out) {
    return new Demo(time, seed, out);
  }

  /** Runs the demo and returns its results. */
  public DemoReport run() throws SettingsException, InterruptedException {
    say("starting a platform, 3 engines, 2 booking services, their sidecars and 2 entries");
    cluster = DemoCluster.start();
    try {
      long revision = cluster.change(ProfileChange.Kind.PUBLISH, PROFILE, 0, DOCUMENT).join();
      if (!awaitRevision(revision, START_LIMIT)) {
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
    final EngineStandIn victim = cluster.engines().get(random.nextInt(cluster.engines().size()));
    say("entries: " + cluster.entries());
    start = System.nanoTime();
    callers.start();
    trainer.start();

    waitUntil(0.4, trainer);
    say("an engine crashes");
    victim.stop();
    waitUntil(0.55, trainer);
    say("the engine restarts with its initial weights");
    victim.setVersion(1);
    victim.start();
    waitUntil(0.7, trainer);
    final boolean inForce = changeProfile(revision);
    waitUntil(1, trainer);

    say("waiting for outstanding responses");
    callers.stop(cluster);
    trainer.stop();
    DemoReport report = new DemoReport(requests.counts(), samples.counts(), inForce);
    out.println();
    out.print(report.table());
    out.flush();
    return report;
  }

  private boolean changeProfile(long revision) {
    long changed = cluster.change(ProfileChange.Kind.CHANGE, PROFILE, revision, CHANGED).join();
    long from = System.nanoTime();
    boolean inForce = awaitRevision(changed, IN_FORCE_LIMIT);
    long millis = (System.nanoTime() - from) / 1_000_000;
    say(
        "an operator changes the profile; in force at every entry: "
            + inForce
            + ", "
            + millis
            + " ms");
    return inForce;
  }

  private boolean awaitRevision(long revision, Duration limit) {
    long end = System.nanoTime() + limit.toNanos();
    List<URI> waiting = cluster.entries();
    while (!waiting.stream().allMatch(entry -> serves(entry, revision))) {
      if (System.nanoTime() > end) {
        return false;
      }
      LockSupport.parkNanos(POLL.toNanos() / 10);
    }
    return true;
  }

  private static boolean serves(URI entry, long revision) {
    try {
      String state = WebClient.of(entry).get("/state").aggregate().join().contentUtf8();
      return state.contains("\"revision\":" + revision + ",");
    } catch (CompletionException e) {
      return false;
    }
  }

  private void waitUntil(double share, TrainerLoop trainer) {
    long end = start + (long) (time.toNanos() * share);
    long nextLine = System.nanoTime();
    while (System.nanoTime() < end) {
      if (System.nanoTime() >= nextLine) {
        progress(trainer);
        nextLine += Duration.ofSeconds(1).toNanos();
      }
      LockSupport.parkNanos(POLL.toNanos());
    }
  }

  private void progress(TrainerLoop trainer) {
    RequestTally.Counts r = requests.counts();
    SampleTally.Counts s = samples.counts();
    out.printf(
        "\r%3d/%d s  requests %d: %d completed, %d not run, %d may have run  "
            + "steps %d  samples %d  weights %d ",
        elapsedSeconds(),
        time.toSeconds(),
        r.sent(),
        r.completed(),
        r.notRun(),
        r.mayHaveRun(),
        s.steps(),
        s.samples(),
        trainer.version());
    out.flush();
  }

  private void say(String what) {
    out.printf("%n[%3d s] %s%n", start == 0 ? 0 : elapsedSeconds(), what);
    out.flush();
  }

  private long elapsedSeconds() {
    return Duration.ofNanos(System.nanoTime() - start).toSeconds();
  }
}
