package org.carobhoist.core.reward;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.time.Duration;
import org.junit.jupiter.api.Test;

/** Guards against bursts of reward calls that delay interactive lookups at the same endpoints. */
final class RewardLoadTest {

  /** Required response time of a lookup; slower lookups lose part of their benefit. */
  private static final Duration LOOKUP_TARGET = Duration.ofMillis(186);

  private static final int SEEDS = 50;
  private static final int PROCESSES = 6;
  private static final int TEXTS = 160;

  private static final RewardPolicy UNLIMITED =
      new RewardPolicy(
          1_000_000,
          1,
          Duration.ZERO,
          Duration.ofMillis(20),
          Duration.ofSeconds(20),
          Duration.ofSeconds(20),
          Duration.ofMillis(40),
          Duration.ofMillis(800));

  @Test
  void burstOfRewardCallsDoesNotDelayLookups() {
    int lateWithoutLimits = 0;
    for (long seed = 0; seed < SEEDS; seed++) {
      RewardLoadSimulation.Result limited =
          RewardLoadSimulation.run(seed, RewardPolicy.DEFAULT, PROCESSES, TEXTS);
      RewardLoadSimulation.Result unlimited =
          RewardLoadSimulation.run(seed, UNLIMITED, PROCESSES, TEXTS);
      assertWithMessage("seed " + seed).that(limited.scores()).hasSize(TEXTS);
      assertWithMessage("seed " + seed).that(limited.slowestLookup()).isAtMost(LOOKUP_TARGET);
      lateWithoutLimits += unlimited.slowestLookup().compareTo(LOOKUP_TARGET) > 0 ? 1 : 0;
    }
    assertThat(lateWithoutLimits).isGreaterThan(SEEDS / 2);
  }

  @Test
  void limitsDelayScoresOnlySlightly() {
    for (long seed = 0; seed < SEEDS; seed++) {
      RewardLoadSimulation.Result limited =
          RewardLoadSimulation.run(seed, RewardPolicy.DEFAULT, PROCESSES, TEXTS);
      RewardLoadSimulation.Result unlimited =
          RewardLoadSimulation.run(seed, UNLIMITED, PROCESSES, TEXTS);
      Duration delay = limited.slowestScore().minus(unlimited.slowestScore());
      assertWithMessage("seed " + seed).that(delay).isAtMost(Duration.ofSeconds(1));
    }
  }
}
