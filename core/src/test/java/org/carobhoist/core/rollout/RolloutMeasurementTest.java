package org.carobhoist.core.rollout;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.time.Duration;
import java.util.List;
import java.util.Locale;
import java.util.SplittableRandom;
import java.util.stream.LongStream;
import org.carobhoist.core.rollout.RolloutPolicy.SwapPolicy;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Compares trainer idle time and staleness, in virtual time, with those of a synchronous trainer,
 * which waits for a complete step before it starts the next one, and of a first-come trainer, which
 * takes whichever groups are complete first. All use the same engines and sample lengths.
 */
final class RolloutMeasurementTest {

  private static final Duration LIMIT = Duration.ofHours(12);
  private static final int ENGINES = 8;
  private static final int ENGINE_LIMIT = 16;
  private static final int STEPS = 16;
  private static final int GROUPS = 48;
  private static final int GROUP_SIZE = 8;
  private static final Duration TRAIN_TIME = Duration.ofSeconds(75);
  private static final int CRASHES = 10;
  private static final Duration CRASH_PERIOD = Duration.ofSeconds(130);
  private static final double HINT_SPREAD = 0.5;
  private static final double MEDIAN_TOKENS = 200;
  private static final double LENGTH_SPREAD = 0.9;
  private static final int MAX_TOKENS = 4_000;

  /** Idle time that no policy can avoid: one network round trip for each step. */
  private static final double NETWORK_IDLE_SECONDS =
      2 * STEPS * RolloutSimulation.MAX_DELAY.toMillis() / 1e3;

  private static final double MAX_IDLE_SHARE = 1.0 / 3;
  private static final double MAX_EXTRA_STALENESS = 1;
  private static final double MAX_WASTE_SHARE = 0.1;

  private record Result(
      String name, double idleSeconds, double mean, long p99, long max, double waste) {

    private void print() {
      System.out.printf(
          Locale.ROOT,
          "%-12s idle %8.2f s  staleness mean %.2f p99 %d max %d  waste %.3f%n",
          name,
          idleSeconds,
          mean,
          p99,
          max,
          waste);
    }
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3})
  void idleTimeStalenessAndWasteMeetTargets(long seed) {
    Result synchronous = measure("synchronous", seed, 0, false, 0, 1);
    Result firstCome = measure("first-come", seed, 3, true, 1_000, 1);
    Result standard = measure("default", seed, 1, false, 1, 0.5);
    Result highIdleWeight = measure("pawprint", seed, 1, false, 2, 0.9);
    Result lowIdleWeight = measure("vidrio-vivo", seed, 1, false, 1, 0.4);
    System.out.println("seed " + seed);
    List.of(synchronous, firstCome, standard, highIdleWeight, lowIdleWeight).forEach(Result::print);
    for (Result r : List.of(standard, highIdleWeight)) {
      assertThat(r.idleSeconds()).isAtMost(firstCome.idleSeconds() + NETWORK_IDLE_SECONDS);
    }
    for (Result r : List.of(standard, highIdleWeight, lowIdleWeight)) {
      assertThat(r.idleSeconds()).isAtMost(synchronous.idleSeconds() * MAX_IDLE_SHARE);
      assertThat(r.mean()).isAtMost(synchronous.mean() + MAX_EXTRA_STALENESS);
      assertThat(r.waste()).isAtMost(MAX_WASTE_SHARE);
    }
    assertThat(lowIdleWeight.mean()).isLessThan(highIdleWeight.mean());
  }

  private static Result measure(
      String name, long seed, int stepsAhead, boolean firstCome, long bound, double idleWeight) {
    RolloutSetup setup =
        new RolloutSetup(
            2,
            ENGINES,
            1,
            STEPS,
            GROUPS,
            GROUP_SIZE,
            ENGINE_LIMIT,
            Duration.ofMillis(100),
            TRAIN_TIME,
            new RolloutPolicy(bound, SwapPolicy.KEEP, idleWeight),
            stepsAhead,
            firstCome,
            6,
            key -> length(seed, key),
            (step, group) -> hint(seed, step, group),
            new RolloutSetup.Seams());
    RolloutSimulation simulation =
        new RolloutSimulation(setup, new SplittableRandom(seed), m -> {});
    for (int i = 0; i < CRASHES; i++) {
      int engine = i % ENGINES;
      simulation.at(CRASH_PERIOD.multipliedBy(i + 1), () -> simulation.crashEngine(engine));
    }
    assertWithMessage(name).that(simulation.run(LIMIT)).isEmpty();
    long[] sorted = simulation.staleness.stream().mapToLong(v -> v).sorted().toArray();
    return new Result(
        name,
        simulation.idle.toMillis() / 1e3,
        LongStream.of(sorted).average().orElseThrow(),
        sorted[sorted.length * 99 / 100],
        sorted[sorted.length - 1],
        (double) simulation.wastedTokens / (simulation.usefulTokens + simulation.wastedTokens));
  }

  /** A trainer's length hint for a prompt: its longest sample with a log-normal error. */
  private static int hint(long seed, StepKey step, int group) {
    int longest = 0;
    for (int i = 0; i < GROUP_SIZE; i++) {
      longest = Math.max(longest, length(seed, new SampleKey(step, group, i)));
    }
    double error = new SplittableRandom(seed + 31L * group).split().nextGaussian();
    return (int) (longest * Math.exp(HINT_SPREAD * error));
  }

  /** Log-normal lengths; a sample has the same length under every policy. */
  private static int length(long seed, SampleKey key) {
    double normal = new SplittableRandom(seed ^ key.seed()).split().nextGaussian();
    double tokens = MEDIAN_TOKENS * Math.exp(LENGTH_SPREAD * normal);
    return (int) Math.max(1, Math.min(MAX_TOKENS, tokens));
  }
}
