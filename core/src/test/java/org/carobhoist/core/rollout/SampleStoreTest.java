package org.carobhoist.core.rollout;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.List;
import org.carobhoist.core.common.ProfileName;
import org.carobhoist.core.common.StepId;
import org.carobhoist.core.common.TrainerId;
import org.carobhoist.core.common.WeightVersion;
import org.carobhoist.core.testing.ManualClock;
import org.junit.jupiter.api.Test;

/** Checks which attempts and samples a sidecar keeps, and for how long. */
final class SampleStoreTest {

  private final ManualClock clock = new ManualClock();
  private final SampleStore store = SampleStore.create(clock);
  private final StepKey step =
      new StepKey(new ProfileName("p"), new TrainerId("t"), new StepId("s"));

  @Test
  void keepsFinishedSamplesUntilAcknowledged() {
    store.begin(attempt(0));
    store.finish(sample(0));
    store.begin(attempt(1));
    assertThat(store.acknowledge(step, GroupCursor.empty())).isEmpty();
    assertThat(store.finished(step)).hasSize(1);
    assertThat(store.acknowledge(step, GroupCursor.empty().with(0).with(1)))
        .containsExactly(attempt(1));
    assertThat(store.finished(step)).isEmpty();
  }

  @Test
  void rejectsRunningOrFinishedAttempt() {
    assertThat(store.begin(attempt(0))).isTrue();
    assertThat(store.begin(attempt(0))).isFalse();
    store.finish(sample(0));
    assertThat(store.begin(attempt(0))).isFalse();
  }

  @Test
  void servesTrainerRestoredWithOlderCursor() {
    store.begin(attempt(0));
    store.finish(sample(0));
    store.acknowledge(step, GroupCursor.empty().with(0));
    assertThat(store.begin(attempt(0))).isTrue();
    store.finish(sample(0));
    store.acknowledge(step, GroupCursor.empty());
    assertThat(store.finished(step)).hasSize(1);
  }

  @Test
  void expiresStepsWithoutMessages() {
    store.begin(attempt(0));
    store.finish(sample(0));
    store.begin(attempt(1));
    clock.advance(SampleStore.RETENTION);
    assertThat(store.expire()).isEmpty();
    clock.advance(SampleStore.RETENTION);
    assertThat(store.expire()).containsExactly(attempt(1));
    assertThat(store.size()).isEqualTo(0);
  }

  @Test
  void keepsOnlyNewestStepsOfTrainerThatNeverCompletesThem() {
    int steps = 3 * SampleStore.STEPS_PER_TRAINER;
    for (int i = 0; i < steps; i++) {
      AttemptKey first = new AttemptKey(new SampleKey(stepNumber(i), 0, 0), 1);
      store.begin(first);
      store.finish(sample(first));
      clock.advance(Duration.ofSeconds(1));
    }
    assertThat(store.size()).isEqualTo(SampleStore.STEPS_PER_TRAINER);
    assertThat(store.finished(stepNumber(steps - 1))).hasSize(1);
    assertThat(store.finished(stepNumber(0))).isEmpty();
  }

  @Test
  void queryKeepsStepFromExpiring() {
    store.begin(attempt(0));
    clock.advance(SampleStore.RETENTION);
    assertThat(store.running(step)).hasSize(1);
    clock.advance(SampleStore.RETENTION);
    assertThat(store.expire()).isEmpty();
  }

  private AttemptKey attempt(int group) {
    return new AttemptKey(new SampleKey(step, group, 0), 1);
  }

  private StepKey stepNumber(int number) {
    return new StepKey(step.profile(), step.trainer(), new StepId("s" + number));
  }

  private FinishedSample sample(int group) {
    return sample(attempt(group));
  }

  private static FinishedSample sample(AttemptKey attempt) {
    return new FinishedSample(
        attempt, List.of(7), List.of(new VersionSpan(new WeightVersion(1), 0, 1)), "w", "stop");
  }
}
