package org.carobhoist.core.reward;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.time.Duration;
import org.junit.jupiter.api.Test;

/** Guards against bursts of reward calls that delay interactive lookups at the same endpoints. */
final class RewardLoadTest {

  /** The response time within which a lookup has its full benefit, by the users' requirements. */
  private static final Duration LOOKUP_AIM = Duration.ofMillis(186);

  private static final int SEEDS = 50;
  private static final int PROCESSES = 6;
  private static final int TEXTS = 160;

  private static final RewardPolicy UNBOUND =
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
  void lookupsKeepTheirAimWhileTextsEndInBursts() {
    int lateWithoutBound = 0;
    for (long seed = 0; seed < SEEDS; seed++) {
      RewardLoad.Result bound = RewardLoad.play(seed, RewardPolicy.DEFAULT, PROCESSES, TEXTS);
      RewardLoad.Result unbound = RewardLoad.play(seed, UNBOUND, PROCESSES, TEXTS);
      assertWithMessage("seed " + seed).that(bound.scores()).hasSize(TEXTS);
      assertWithMessage("seed " + seed).that(bound.slowestLookup()).isAtMost(LOOKUP_AIM);
      lateWithoutBound += unbound.slowestLookup().compareTo(LOOKUP_AIM) > 0 ? 1 : 0;
    }
    assertThat(lateWithoutBound).isGreaterThan(SEEDS / 2);
  }

  @Test
  void trainersHardlyNoticeTheBound() {
    for (long seed = 0; seed < SEEDS; seed++) {
      RewardLoad.Result bound = RewardLoad.play(seed, RewardPolicy.DEFAULT, PROCESSES, TEXTS);
      RewardLoad.Result unbound = RewardLoad.play(seed, UNBOUND, PROCESSES, TEXTS);
      Duration cost = bound.slowestScore().minus(unbound.slowestScore());
      assertWithMessage("seed " + seed).that(cost).isAtMost(Duration.ofSeconds(1));
    }
  }
}
