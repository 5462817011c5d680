package org.carobhoist.core.testing;

import java.util.Optional;
import java.util.SplittableRandom;

/** Runs a scenario under many random schedules, each generated from its own seed. */
public final class Schedules {

  private Schedules() {}

  /** A scenario to run under random schedules. */
  @FunctionalInterface
  public interface Scenario {

    /** Runs one schedule, determined by the generator; returns the failure, or empty. */
    Optional<String> run(SplittableRandom random);
  }

  /**
   * Runs {@code count} schedules with consecutive seeds until one fails.
   *
   * @return the first failure with its seed, or empty
   */
  public static Optional<String> explore(long firstSeed, int count, Scenario scenario) {
    for (long seed = firstSeed; seed < firstSeed + count; seed++) {
      Optional<String> result;
      try {
        result = scenario.run(new SplittableRandom(seed));
      } catch (RuntimeException e) {
        result = Optional.of("threw " + e);
      }
      if (result.isPresent()) {
        long failedSeed = seed;
        return result.map(failure -> "seed " + failedSeed + ": " + failure);
      }
    }
    return Optional.empty();
  }
}
