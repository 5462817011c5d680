package org.carobhoist.core.rollout;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import org.carobhoist.core.common.InstanceId;
import org.carobhoist.core.common.ProfileName;
import org.carobhoist.core.common.StepId;
import org.carobhoist.core.common.TrainerId;
import org.carobhoist.core.common.WeightVersion;
import org.carobhoist.core.rollout.RolloutPolicy.SwapPolicy;
import org.carobhoist.core.testing.ManualClock;

/**
 * Prints, for steps of 256 to 4,096 samples, the time that all decisions of one step take, the size
 * of its cursor, and the memory of its coordinator without the samples' tokens.
 */
final class RolloutScaleBenchmark {

  private static final int GROUP_SIZE = 8;
  private static final int ROUNDS = 5;
  private static final int REPORTS_PER_SAMPLE = 5;

  private final List<EngineView> views;
  private final Deque<Sent> started = new ArrayDeque<>();
  private final Deque<Long> queries = new ArrayDeque<>();
  private final ManualClock clock = new ManualClock();
  private final FinishedSample template;
  private long messages;

  private record Sent(InstanceId engine, AttemptOrder order) {}

  private RolloutScaleBenchmark(int engines) {
    this.views =
        IntStream.range(0, engines)
            .mapToObj(i -> new EngineView(new InstanceId("e" + i), new WeightVersion(1), 8))
            .toList();
    this.template =
        new FinishedSample(
            new AttemptKey(new SampleKey(key(), 0, 0), 1),
            List.of(1),
            List.of(new VersionSpan(new WeightVersion(1), 0, 1)),
            "",
            "stop");
  }

  /** Runs the benchmark; the arguments are ignored. */
  public static void main(String[] args) {
    run(60, 4_096);
    System.out.println("warm-up finished; the following runs are measured");
    for (int engines : new int[] {60, 600}) {
      for (int samples : new int[] {256, 1_024, 4_096}) {
        run(engines, samples);
      }
    }
  }

  private static void run(int engines, int samples) {
    long bestNanos = Long.MAX_VALUE;
    long messages = 0;
    List<StepCoordinator> coordinators = new ArrayList<>();
    final long before = usedMemory();
    for (int i = 0; i < ROUNDS; i++) {
      RolloutScaleBenchmark b = new RolloutScaleBenchmark(engines);
      long startNanos = System.nanoTime();
      coordinators.add(b.runStep(samples / GROUP_SIZE));
      bestNanos = Math.min(bestNanos, System.nanoTime() - startNanos);
      messages = b.messages;
    }
    final long memory = (usedMemory() - before) / ROUNDS;
    if (coordinators.stream().anyMatch(c -> c.held() != samples)) {
      throw new IllegalStateException("a step is incomplete");
    }
    GroupCursor cursor = GroupCursor.empty();
    for (int g = 0; g < samples / GROUP_SIZE; g++) {
      cursor = cursor.with(g);
    }
    System.out.printf(
        "engines %4d samples %5d decisions %8.1f ms cursor %4d bytes coordinator %6d KiB"
            + " messages %6d%n",
        engines, samples, bestNanos / 1e6, cursor.format().length(), memory / 1024, messages);
  }

  private StepCoordinator runStep(int groups) {
    RolloutPolicy policy = new RolloutPolicy(1, SwapPolicy.KEEP, 0.5);
    StepCoordinator c =
        StepCoordinator.create(
            new Port(), policy, clock, TrainerPace.create(), new SplittableRandom(1));
    List<StepRequest.GroupPrompt> prompts =
        IntStream.range(0, groups).mapToObj(g -> new StepRequest.GroupPrompt(g, "p")).toList();
    c.onRequest(
        new StepRequest(
            key(), new WeightVersion(1), GROUP_SIZE, 1_000, GroupCursor.empty(), prompts, false));
    for (EngineView e : views) {
      c.onHeld(e.instance(), new HeldSamples(queries.poll(), List.of(), List.of()));
    }
    while (!started.isEmpty()) {
      Sent sent = started.poll();
      AttemptKey attempt = sent.order().attempt();
      for (int i = 1; i <= REPORTS_PER_SAMPLE; i++) {
        c.onProgress(
            sent.engine(), new RunningAttempt(attempt, i, Optional.of(new WeightVersion(1))));
      }
      c.onDone(
          sent.engine(),
          new FinishedSample(attempt, template.tokens(), template.spans(), "", "stop"));
      messages += REPORTS_PER_SAMPLE + 1;
    }
    c.page();
    return c;
  }

  private final class Port implements RolloutPort {

    @Override
    public List<EngineView> engines() {
      return views;
    }

    @Override
    public void queryHeld(InstanceId engine, StepKey step, long query, List<AttemptKey> attempts) {
      messages++;
      queries.add(query);
    }

    @Override
    public void start(InstanceId engine, AttemptOrder order) {
      messages++;
      started.add(new Sent(engine, order));
    }

    @Override
    public void cancel(InstanceId engine, AttemptKey attempt, boolean handBack) {
      messages++;
    }

    @Override
    public void acknowledge(InstanceId engine, StepKey step, GroupCursor cursor, boolean finished) {
      messages++;
    }
  }

  private static StepKey key() {
    return new StepKey(new ProfileName("p"), new TrainerId("t"), new StepId("s"));
  }

  private static long usedMemory() {
    System.gc();
    return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
  }
}
