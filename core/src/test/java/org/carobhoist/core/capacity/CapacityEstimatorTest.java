package org.carobhoist.core.capacity;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.SplittableRandom;
import java.util.function.IntSupplier;
import java.util.function.IntToDoubleFunction;
import org.carobhoist.core.testing.ManualClock;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Estimates of one endpoint whose latency is a function of the load, at 5 samples per second. */
final class CapacityEstimatorTest {

  private static final long SEED = 730;
  private static final int SLOTS = 8;
  private static final Duration PERIOD = Duration.ofMillis(200);

  private final ManualClock clock = new ManualClock();
  private final CapacityEstimator estimator = new CapacityEstimator(CapacityPolicy.DEFAULT);
  private SplittableRandom random = new SplittableRandom(SEED);

  /** Guards against an average that is too slow to be useful, and against overshoot. */
  @Test
  void followsStepWithinTwoSecondsWithoutOvershoot() {
    run(10, n -> 50, () -> 1);
    assertThat(latencyMillis()).isWithin(1).of(50);
    for (int i = 0; i < 10; i++) {
      run(0.2, n -> 100, () -> 1);
      assertThat(latencyMillis()).isAtMost(101);
    }
    assertThat(latencyMillis()).isAtLeast(85);
  }

  /** Guards against taking an endpoint that became slow at every load for an overloaded one. */
  @Test
  void findsEndpointTwiceAsSlowAtMixedLoadWithNoise() {
    run(10, n -> noisy(50), this::mixedLoad);
    assertThat(expectedMillis(3)).isWithin(15).of(50);
    run(2, n -> noisy(100), this::mixedLoad);
    assertThat(expectedMillis(3)).isAtLeast(75);
    run(6, n -> noisy(100), this::mixedLoad);
    assertThat(expectedMillis(3)).isWithin(30).of(100);
  }

  /**
   * Guards against a limit that stays at the slots, and against one that oscillates: it may exceed
   * the knee by the ratio that counts as slow and by one request that probes.
   */
  @ParameterizedTest
  @ValueSource(longs = {SEED, 1, 2, 3, 4, 5, 6, 7})
  void findsKneeAtHalfTheSlotsAndStaysThere(long seed) {
    random = new SplittableRandom(seed);
    run(6, n -> noisy(50 * Math.max(1, n / 4.0)), this::loadUpToLimit);
    double sum = 0;
    for (int i = 0; i < 200; i++) {
      run(0.2, n -> noisy(50 * Math.max(1, n / 4.0)), this::loadUpToLimit);
      assertThat(limit()).isAtLeast(2.5);
      assertThat(limit()).isLessThan(7.0);
      sum += limit();
    }
    assertThat(sum / 200).isWithin(1).of(4.5);
  }

  /** Guards against a jump of the load when the endpoint recovers. */
  @Test
  void growsOneByOne() {
    run(10, n -> 50 * Math.max(1, n / 3.0), this::loadUpToLimit);
    assertThat(limit()).isAtMost(5.0);
    double before = limit();
    for (int i = 0; i < 80; i++) {
      run(0.2, n -> 50, this::loadUpToLimit);
      assertThat(limit()).isAtMost(before + 1.01);
      before = limit();
    }
    assertThat(limit()).isWithin(0.01).of(SLOTS);
  }

  /** Guards against an endpoint that is avoided forever since nothing measures it. */
  @Test
  void returnsToNeutralWithinTenSecondsWithoutSamples() {
    run(10, n -> 400 * Math.max(1, n / 2.0), this::loadUpToLimit);
    estimator.onSums(LatencySums.ofFailure(), SLOTS, clock.elapsed());
    estimator.onSums(LatencySums.ofFailure(), SLOTS, clock.elapsed());
    assertThat(estimator.failureShare(clock.elapsed())).isGreaterThan(0.2);
    clock.advance(Duration.ofSeconds(10));
    assertThat(estimator.confidence(clock.elapsed())).isEqualTo(0.0);
    assertThat(estimator.failureShare(clock.elapsed())).isEqualTo(0.0);
    assertThat(limit()).isEqualTo((double) SLOTS);
    assertThat(expectedMillis(SLOTS)).isWithin(0.01).of(50);
  }

  /** Guards against following a neighbour whose load comes and goes faster than samples tell. */
  @Test
  void averagesOverNeighbourThatComesAndGoes() {
    run(10, n -> neighbour(), () -> 1 + random.nextInt(3));
    for (int i = 0; i < 100; i++) {
      run(0.2, n -> neighbour(), () -> 1 + random.nextInt(3));
      assertThat(expectedMillis(2)).isAtLeast(50);
      assertThat(expectedMillis(2)).isAtMost(105);
    }
  }

  /** Guards against an endpoint without samples that gets more or less than its peers. */
  @Test
  void newEndpointIsNeutralAndOneOutlierDoesNotDecide() {
    assertThat(expectedMillis(SLOTS)).isWithin(0.01).of(50);
    run(0.2, n -> 150, () -> 1);
    assertThat(expectedMillis(1)).isAtMost(80);
  }

  /** Guards against an endpoint that attracts requests by failing them fast. */
  @Test
  void failuresRaiseTheExpectedTimeWithinThreeRequests() {
    run(10, n -> 50, () -> 1);
    for (int i = 0; i < 3; i++) {
      clock.advance(PERIOD);
      estimator.onSums(LatencySums.ofFailure(), SLOTS, clock.elapsed());
    }
    assertThat(estimator.isFailing(clock.elapsed())).isTrue();
    assertThat(expectedMillis(1)).isAtLeast(120);
    run(2, n -> 50, () -> 1);
    assertThat(estimator.isFailing(clock.elapsed())).isFalse();
  }

  private void run(double seconds, IntToDoubleFunction millis, IntSupplier load) {
    for (int i = 0; i < Math.round(seconds * 5); i++) {
      clock.advance(PERIOD);
      int inFlight = load.getAsInt();
      Duration latency = Duration.ofNanos((long) (millis.applyAsDouble(inFlight) * 1e6));
      estimator.onSums(LatencySums.ofLatency(inFlight, latency), SLOTS, clock.elapsed());
    }
  }

  private int mixedLoad() {
    return 1 + random.nextInt(SLOTS);
  }

  private int loadUpToLimit() {
    return 1 + random.nextInt((int) Math.round(limit()));
  }

  private double noisy(double millis) {
    return millis * (0.7 + 0.6 * random.nextDouble());
  }

  private double neighbour() {
    return clock.elapsed().toMillis() / 600 % 2 == 0 ? 50 : 100;
  }

  private double latencyMillis() {
    return estimator.latencyNanos(clock.elapsed()) / 1e6;
  }

  private double limit() {
    return estimator.limit(SLOTS, clock.elapsed());
  }

  private double expectedMillis(int inFlight) {
    return estimator.expectedNanos(inFlight, SLOTS, 50e6, clock.elapsed()) / 1e6;
  }
}
