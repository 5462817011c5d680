package org.carobhoist.core.testing;

import java.util.Optional;
import java.util.SplittableRandom;

/** Runs a scenario under many random schedules, each drawn from a seed of its own. */
public final class Schedules {

  private Schedules() {}

  /** Runs one schedule; returns what broke, or empty. */
  @FunctionalInterface
  public interface Scenario {

    /** Runs the schedule that the generator draws. */
    Optional<String> run(SplittableRandom random);
  }

  /**
   * Runs schedules with the seeds from {@code firstSeed} on.
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
        long failed = seed;
        return result.map(why -> "seed " + failed + ": " + why);
      }
    }
    return Optional.empty();
  }
}
