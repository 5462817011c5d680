package org.carobhoist.core.rollout;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.EnumSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import org.carobhoist.core.common.WeightVersion;
import org.carobhoist.core.rollout.RolloutPolicy.SwapPolicy;
import org.carobhoist.core.rollout.RolloutSetup.Seams;
import org.carobhoist.core.rollout.RolloutWorld.Moment;
import org.carobhoist.core.testing.Schedules;
import org.junit.jupiter.api.Test;

/**
 * Replaces single parts by faulty ones. The schedules and checks that the real parts pass must
 * detect each of them.
 */
final class RolloutMutationTest {

  private static final int SCHEDULES = 1500;
  private static final long SEED = 7;
  private static final Duration LIMIT = Duration.ofMinutes(3);

  private final Seams seams = new Seams();

  @Test
  void catchesTrustInTheOrderedVersion() {
    seams.attribution = (stream, ordered) -> ordered;
    assertCaught("attributed to");
  }

  @Test
  void catchesMissingStalenessCheckAtHandOver() {
    seams.handOver =
        r ->
            new StepRequest(
                r.key(),
                new WeightVersion(1),
                r.samplesPerGroup(),
                r.maxTokens(),
                r.cursor(),
                r.prompts(),
                r.prepare());
    assertCaught("handed to a trainer at");
  }

  @Test
  void catchesPageForAnotherCursor() {
    seams.takes = (page, mine) -> page.checkedVersion().equals(mine.trainerVersion());
    assertCaught("taken twice");
  }

  @Test
  void catchesPageForAnotherVersion() {
    seams.takes = (page, mine) -> page.cursor().equals(mine.cursor());
    assertCaught("handed to a trainer at");
  }

  @Test
  void catchesCutStreamCountedAsWhole() {
    seams.endMark = seen -> true;
    assertCaught("cut short");
  }

  @Test
  void catchesPrefixAttributedToOneVersion() {
    seams.resume = RolloutMutationTest::relabel;
    assertCaught("attributed to");
  }

  @Test
  void catchesClaimToRunWhatIsUnknown() {
    seams.claims = runs -> true;
    assertCaught("never completed");
  }

  @Test
  void entryCrashGeneratesNothingTwice() {
    assertThat(completionsAfterEntryCrash()).isEqualTo(1);
  }

  @Test
  void catchesForgettingBeforeAcknowledgement() {
    seams.afterTold = Runnable::run;
    assertThat(completionsAfterEntryCrash()).isGreaterThan(1);
  }

  @Test
  void faultlessRunReachesEveryMoment() {
    Set<Moment> seen = EnumSet.noneOf(Moment.class);
    RolloutWorld world =
        new RolloutWorld(
            RolloutSetup.small(SwapPolicy.KEEP, seams), new SplittableRandom(SEED), seen::add);
    assertThat(world.run(LIMIT)).isEmpty();
    assertThat(seen).containsExactlyElementsIn(Moment.values());
    assertThat(world.completions.values()).doesNotContain(2);
  }

  /**
   * Crashes the entry that coordinates the target sample once its sidecar has stored it; returns
   * how often the sample that was completed most often was completed.
   */
  private int completionsAfterEntryCrash() {
    RolloutWorld[] world = new RolloutWorld[1];
    world[0] =
        new RolloutWorld(
            RolloutSetup.small(SwapPolicy.KEEP, seams),
            new SplittableRandom(SEED),
            m -> {
              if (m == Moment.SAVED) {
                world[0].crashEntry();
              }
            });
    assertThat(world[0].run(LIMIT)).isEmpty();
    return world[0].completions.values().stream().mapToInt(n -> n).max().orElseThrow();
  }

  private static SamplePrefix relabel(SamplePrefix p) {
    if (p.isEmpty()) {
      return p;
    }
    WeightVersion last = p.spans().get(p.spans().size() - 1).version();
    return new SamplePrefix(
        p.tokens(), List.of(new VersionSpan(last, 0, p.tokens().size())), p.text());
  }

  private void assertCaught(String by) {
    Optional<String> broken =
        Schedules.explore(SEED, SCHEDULES, r -> RolloutFaultMatrixTest.randomRun(r, seams));
    assertThat(broken.isPresent()).isTrue();
    assertThat(broken.get()).contains(by);
  }
}
