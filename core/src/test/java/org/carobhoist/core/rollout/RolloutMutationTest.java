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
import org.carobhoist.core.rollout.RolloutSimulation.LifePoint;
import org.carobhoist.core.testing.Schedules;
import org.junit.jupiter.api.Test;

/**
 * Replaces single parts by faulty ones. The schedules and checks that the real parts pass must
 * detect each of them.
 */
final class RolloutMutationTest {

  private static final int SCHEDULES = 1500;
  private static final long SEED = 7;
  private static final Duration TIME_LIMIT = Duration.ofMinutes(3);

  private final Seams seams = new Seams();

  @Test
  void catchesAttributionToAnnouncedVersion() {
    seams.attribution = (stream, ordered) -> ordered;
    assertCaught("attributed to");
  }

  @Test
  void catchesMissingStalenessCheckAtDelivery() {
    seams.checkedRequest =
        r ->
            new StepRequest(
                r.key(),
                new WeightVersion(1),
                r.samplesPerGroup(),
                r.maxTokens(),
                r.cursor(),
                r.prompts(),
                r.prepare());
    assertCaught("delivered to a trainer at");
  }

  @Test
  void catchesPageForAnotherCursor() {
    seams.acceptsPage = (page, mine) -> page.checkedVersion().equals(mine.trainerVersion());
    assertCaught("accepted twice");
  }

  @Test
  void catchesPageForAnotherVersion() {
    seams.acceptsPage = (page, mine) -> page.cursor().equals(mine.cursor());
    assertCaught("delivered to a trainer at");
  }

  @Test
  void catchesCutStreamCountedAsComplete() {
    seams.countsAsComplete = received -> true;
    assertCaught("cut short");
  }

  @Test
  void catchesPrefixAttributedToOneVersion() {
    seams.resumePrefix = RolloutMutationTest::relabel;
    assertCaught("attributed to");
  }

  @Test
  void catchesUnknownAttemptReportedAsRunning() {
    seams.reportsRunning = runs -> true;
    assertCaught("never completed");
  }

  @Test
  void entryCrashGeneratesNothingTwice() {
    assertThat(completionsAfterEntryCrash()).isEqualTo(1);
  }

  @Test
  void catchesSampleDroppedBeforeAcknowledgement() {
    seams.afterReport = Runnable::run;
    assertThat(completionsAfterEntryCrash()).isGreaterThan(1);
  }

  @Test
  void faultlessRunReachesEveryLifePoint() {
    Set<LifePoint> reached = EnumSet.noneOf(LifePoint.class);
    RolloutSimulation simulation =
        new RolloutSimulation(
            RolloutSetup.small(SwapPolicy.KEEP, seams), new SplittableRandom(SEED), reached::add);
    assertThat(simulation.run(TIME_LIMIT)).isEmpty();
    assertThat(reached).containsExactlyElementsIn(LifePoint.values());
    assertThat(simulation.completions.values()).doesNotContain(2);
  }

  /**
   * Crashes the entry that coordinates the target sample once its sidecar has stored it; returns
   * how often the sample that was completed most often was completed.
   */
  private int completionsAfterEntryCrash() {
    RolloutSimulation[] simulation = new RolloutSimulation[1];
    simulation[0] =
        new RolloutSimulation(
            RolloutSetup.small(SwapPolicy.KEEP, seams),
            new SplittableRandom(SEED),
            point -> {
              if (point == LifePoint.STORED) {
                simulation[0].crashEntry();
              }
            });
    assertThat(simulation[0].run(TIME_LIMIT)).isEmpty();
    return simulation[0].completions.values().stream().mapToInt(n -> n).max().orElseThrow();
  }

  private static SamplePrefix relabel(SamplePrefix p) {
    if (p.isEmpty()) {
      return p;
    }
    WeightVersion last = p.spans().get(p.spans().size() - 1).version();
    return new SamplePrefix(
        p.tokens(), List.of(new VersionSpan(last, 0, p.tokens().size())), p.text());
  }

  private void assertCaught(String message) {
    Optional<String> failure =
        Schedules.explore(SEED, SCHEDULES, r -> RolloutFaultMatrixTest.randomRun(r, seams));
    assertThat(failure.isPresent()).isTrue();
    assertThat(failure.get()).contains(message);
  }
}
