package org.carobhoist.server.demo;

import com.linecorp.armeria.client.WebClient;
import com.linecorp.armeria.common.HttpStatus;
import com.linecorp.armeria.common.MediaType;
import java.net.URI;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletionException;
import java.util.concurrent.locks.LockSupport;
import java.util.stream.IntStream;
import org.carobhoist.trainer.StepPageMessage;
import org.carobhoist.trainer.StepRequestMessage;
import org.carobhoist.trainer.StepSession;
import org.carobhoist.trainer.TrainerClient;

/**
 * Simulates a trainer. Fetches the samples of a step, pauses as if training, and announces new
 * weights after every few steps. Passes every sample to the tally, which checks it.
 */
final class TrainerLoop {

  private static final String TRAINER = "trainer-1";
  private static final int GROUPS = 8;
  private static final int SAMPLES_PER_GROUP = 4;
  private static final int MAX_TOKENS = 96;
  private static final int STEPS_PER_VERSION = 4;
  private static final Duration POLL_WAIT = Duration.ofSeconds(2);
  private static final Duration TRAINING_TIME = Duration.ofMillis(400);
  private static final Duration STEP_TIMEOUT = Duration.ofSeconds(30);

  private final TrainerClient client;
  private final WebClient orders;
  private final SampleTally tally;
  private final Thread thread = new Thread(this::run, "demo-trainer");
  private volatile boolean running = true;
  private volatile long version = 1;

  TrainerLoop(List<URI> entries, SampleTally tally) {
    this.client = TrainerClient.create(entries);
    this.orders = WebClient.of(entries.get(0));
    this.tally = tally;
  }

  void start() {
    thread.start();
  }

  /** Returns the trainer's current weight version. */
  long version() {
    return version;
  }

  /** Stops after the current step. */
  void stop() throws InterruptedException {
    running = false;
    thread.join();
  }

  private void run() {
    for (int step = 1; running; step++) {
      runStep(step);
      LockSupport.parkNanos(TRAINING_TIME.toNanos());
      tally.onTrained(TRAINING_TIME);
      if (step % STEPS_PER_VERSION == 0) {
        announce(version + 1);
      }
    }
  }

  private void runStep(int step) {
    StepSession session = StepSession.start(request(step));
    long start = System.nanoTime();
    int groups = 0;
    while (!session.isComplete() && System.nanoTime() - start < STEP_TIMEOUT.toNanos()) {
      groups += client.poll(session, POLL_WAIT).join();
    }
    tally.onWaited(Duration.ofNanos(System.nanoTime() - start));
    tally.onStep(GROUPS * SAMPLES_PER_GROUP, groups * SAMPLES_PER_GROUP);
    for (StepPageMessage.Group group : session.groups()) {
      group.samples().forEach(sample -> tally.onSample(sample, version));
    }
  }

  private StepRequestMessage request(int step) {
    List<StepRequestMessage.Group> prompts =
        IntStream.range(0, GROUPS)
            .mapToObj(g -> new StepRequestMessage.Group(g, "correction " + step + "/" + g))
            .toList();
    String id = Integer.toString(step);
    return new StepRequestMessage(
        Demo.PROFILE, TRAINER, id, version, SAMPLES_PER_GROUP, MAX_TOKENS, "", prompts, 0);
  }

  /** Announces new weights; the trainer keeps the old version unless the order is accepted. */
  private void announce(long next) {
    try {
      HttpStatus status =
          orders
              .prepare()
              .post("/v1/models/" + DemoCluster.MODEL + "/weights")
              .content(MediaType.JSON, "{\"version\":" + next + "}")
              .execute()
              .aggregate()
              .join()
              .status();
      if (status.equals(HttpStatus.OK)) {
        version = next;
      }
    } catch (CompletionException e) {
      // The response was lost; the same version is announced again after the next few steps.
    }
  }
}
