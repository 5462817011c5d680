package org.carobhoist.core.capacity;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Loads distributed over four endpoints by expected time, compared with the least load. */
final class RoutedLoadTest {

  private static final Duration WARM_UP = Duration.ofSeconds(5);
  private static final Duration MEASURED = Duration.ofSeconds(60);
  private static final RoutedLoadSimulation.Speed USUAL = (n, seconds) -> 50;
  private static final RoutedLoadSimulation.Speed TWICE = (n, seconds) -> 100;
  private static final RoutedLoadSimulation.Speed HALF_FULL =
      (n, seconds) -> 50 * Math.max(1, n / (RoutedLoadSimulation.SLOTS / 2.0));

  /** Guards against a choice by chance while few requests are in flight. */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3})
  void slowEndpointGetsLessWhileMostAreIdle(long seed) {
    List<RoutedLoadSimulation.Speed> speeds = List.of(USUAL, USUAL, USUAL, TWICE);
    RoutedLoadSimulation after = new RoutedLoadSimulation(seed, true, speeds);
    after.run(WARM_UP, 10);
    double mean = after.run(MEASURED, 10);
    assertThat(after.share(3)).isLessThan(0.1);
    assertThat(mean).isLessThan(leastLoad(seed, speeds, 10));
  }

  /** Guards against filling an endpoint beyond the load that it handles well. */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3})
  void endpointThatSlowsDownHalfFullGetsLess(long seed) {
    List<RoutedLoadSimulation.Speed> speeds = List.of(USUAL, USUAL, USUAL, HALF_FULL);
    double rate = 500;
    RoutedLoadSimulation after = new RoutedLoadSimulation(seed, true, speeds);
    after.run(WARM_UP, rate);
    double mean = after.run(MEASURED, rate);
    assertThat(after.share(3)).isLessThan(0.22);
    assertThat(mean).isLessThan(leastLoad(seed, speeds, rate));
  }

  /** Guards against shifting load between endpoints that are all equally slow. */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3})
  void noneIsAvoidedWhenAllBecomeSlow(long seed) {
    RoutedLoadSimulation.Speed speed = (n, seconds) -> seconds < 10 ? 50 : 150;
    RoutedLoadSimulation all =
        new RoutedLoadSimulation(seed, true, List.of(speed, speed, speed, speed));
    all.run(Duration.ofSeconds(10), 60);
    all.run(Duration.ofSeconds(3), 60);
    all.run(MEASURED, 60);
    for (int i = 0; i < 4; i++) {
      assertThat(all.share(i)).isWithin(0.05).of(0.25);
    }
  }

  /** Guards against an endpoint that is never used again after it was slow. */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3})
  void recoveredEndpointGetsItsShareAgain(long seed) {
    RoutedLoadSimulation.Speed speed = (n, seconds) -> seconds < 20 ? 150 : 50;
    RoutedLoadSimulation after =
        new RoutedLoadSimulation(seed, true, List.of(USUAL, USUAL, USUAL, speed));
    after.run(Duration.ofSeconds(20), 40);
    after.run(Duration.ofSeconds(15), 40);
    after.run(MEASURED, 40);
    assertThat(after.share(3)).isWithin(0.06).of(0.25);
  }

  private static double leastLoad(long seed, List<RoutedLoadSimulation.Speed> speeds, double rate) {
    RoutedLoadSimulation before = new RoutedLoadSimulation(seed, false, speeds);
    before.run(WARM_UP, rate);
    double mean = before.run(MEASURED, rate);
    return mean;
  }
}
