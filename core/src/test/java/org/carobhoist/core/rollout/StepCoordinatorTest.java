package org.carobhoist.core.rollout;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import org.carobhoist.core.common.InstanceId;
import org.carobhoist.core.common.ProfileName;
import org.carobhoist.core.common.StepId;
import org.carobhoist.core.common.TrainerId;
import org.carobhoist.core.common.WeightVersion;
import org.carobhoist.core.rollout.RolloutPolicy.SwapPolicy;
import org.carobhoist.core.testing.ManualClock;
import org.junit.jupiter.api.Test;

/** Checks single decisions of a step's coordinator against a port that records its calls. */
final class StepCoordinatorTest {

  private static final InstanceId OLD = new InstanceId("old");
  private static final InstanceId NEW = new InstanceId("new");

  private final ManualClock clock = new ManualClock();
  private final RecordingPort port = new RecordingPort();
  private final TrainerPace pace = TrainerPace.create();
  private final StepKey key =
      new StepKey(new ProfileName("p"), new TrainerId("t"), new StepId("s"));
  private GroupCursor cursor = GroupCursor.empty();

  private record StartedAttempt(InstanceId engine, AttemptOrder order) {}

  private record SentQuery(InstanceId engine, long query, List<AttemptKey> attempts) {}

  private static final class RecordingPort implements RolloutPort {
    private final List<EngineView> views = new ArrayList<>();
    private final List<StartedAttempt> started = new ArrayList<>();
    private final List<SentQuery> queries = new ArrayList<>();
    private final List<AttemptKey> cancelled = new ArrayList<>();
    private int finishedAcks;

    @Override
    public List<EngineView> engines() {
      return views;
    }

    @Override
    public void queryHeld(InstanceId engine, StepKey step, long query, List<AttemptKey> attempts) {
      queries.add(new SentQuery(engine, query, attempts));
    }

    @Override
    public void start(InstanceId engine, AttemptOrder order) {
      started.add(new StartedAttempt(engine, order));
    }

    @Override
    public void cancel(InstanceId engine, AttemptKey attempt, boolean handBack) {
      cancelled.add(attempt);
    }

    @Override
    public void acknowledge(InstanceId engine, StepKey step, GroupCursor cursor, boolean all) {
      finishedAcks += all ? 1 : 0;
    }
  }

  @Test
  void startsNothingBeforeAllSidecarsHaveReplied() {
    StepCoordinator c = coordinator(1, 0.5);
    c.onRequest(request(5, 2));
    assertThat(port.started).isEmpty();
    answer(c, port.queries.get(0));
    assertThat(port.started).isEmpty();
    answer(c, port.queries.get(1));
    assertThat(port.started).hasSize(2);
  }

  @Test
  void missingReplyBlocksStartOnlyForLimitedTime() {
    StepCoordinator c = coordinator(1, 0.5);
    c.onRequest(request(5, 1));
    for (int i = 0; i < 4; i++) {
      clock.advance(Duration.ofMillis(2100));
      c.tick();
    }
    assertThat(port.queries).hasSize(6);
    assertThat(port.started).hasSize(1);
  }

  @Test
  void avoidsEnginesBeyondTheBoundAndPrefersFreshOnes() {
    StepCoordinator c = coordinator(1, 0.5);
    requestAndAnswer(c, request(6, 3));
    assertThat(port.started.stream().map(StartedAttempt::engine).distinct()).containsExactly(NEW);
    assertThat(port.started).hasSize(2);
  }

  @Test
  void highIdleWeightUsesAnyEngineWithinTheBound() {
    StepCoordinator c = coordinator(2, 1);
    requestAndAnswer(c, request(5, 4));
    assertThat(port.started.stream().map(StartedAttempt::engine).distinct())
        .containsExactly(NEW, OLD);
  }

  @Test
  void startsLongestExpectedSampleFirst() {
    StepCoordinator c = coordinator(1, 0.5);
    List<StepRequest.GroupPrompt> prompts =
        List.of(
            new StepRequest.GroupPrompt(0, "short", 10),
            new StepRequest.GroupPrompt(1, "long", 900));
    requestAndAnswer(
        c, new StepRequest(key, new WeightVersion(5), 1, 1000, cursor, prompts, false));
    assertThat(port.started.get(0).order().prompt()).isEqualTo("long");
  }

  @Test
  void resumesElsewhereFromTokensOfFailedAttempt() {
    StepCoordinator c = coordinator(2, 1);
    requestAndAnswer(c, request(5, 1));
    StartedAttempt first = port.started.get(0);
    SamplePrefix prefix = new SamplePrefix(List.of(1, 2), List.of(span(5, 0, 2)), "ab");
    c.onFailed(first.engine(), first.order().attempt(), prefix);
    clock.advance(Duration.ofMillis(200));
    c.tick();
    assertThat(port.started).hasSize(2);
    assertThat(port.started.get(1).order().prefix()).isEqualTo(prefix);
    assertThat(port.started.get(1).engine()).isNotEqualTo(first.engine());
  }

  @Test
  void cancelsAttemptThatBecomesTooStale() {
    StepCoordinator c = coordinator(1, 0.5);
    requestAndAnswer(c, request(5, 1));
    AttemptKey attempt = port.started.get(0).order().attempt();
    c.onProgress(NEW, new RunningAttempt(attempt, 4, Optional.of(new WeightVersion(5))));
    c.onRequest(request(6, 1));
    assertThat(port.cancelled).isEmpty();
    c.onRequest(request(7, 1));
    assertThat(port.cancelled).containsExactly(attempt);
    assertThat(c.wastedTokens()).isEqualTo(4);
  }

  @Test
  void checksFreshnessAgainstVersionOfCurrentRequest() {
    StepCoordinator c = coordinator(1, 0.5);
    requestAndAnswer(c, request(5, 1));
    c.onDone(NEW, sample(port.started.get(0).order().attempt(), 5));
    assertThat(c.page().groups()).hasSize(1);
    c.onRequest(request(6, 1));
    assertThat(c.page().groups()).hasSize(1);
    c.onRequest(request(7, 1));
    assertThat(c.page().groups()).isEmpty();
  }

  @Test
  void emptySampleIsGeneratedAgain() {
    StepCoordinator c = coordinator(1, 0.5);
    requestAndAnswer(c, request(5, 1));
    AttemptKey attempt = port.started.get(0).order().attempt();
    c.onDone(NEW, new FinishedSample(attempt, List.of(), List.of(), "", "stop"));
    clock.advance(Duration.ofMillis(200));
    c.tick();
    assertThat(c.page().groups()).isEmpty();
    assertThat(port.started).hasSize(2);
  }

  @Test
  void lateReportOnFailedAttemptIsIgnored() {
    StepCoordinator c = coordinator(1, 0.5);
    requestAndAnswer(c, request(5, 1));
    AttemptKey attempt = port.started.get(0).order().attempt();
    c.onFailed(NEW, attempt, SamplePrefix.NONE);
    c.onProgress(NEW, new RunningAttempt(attempt, 4, Optional.of(new WeightVersion(5))));
    assertThat(c.inFlight()).isEqualTo(0);
  }

  @Test
  void preparedStepHasEmptyPageAndKeepsItsSamples() {
    StepCoordinator c = coordinator(2, 1);
    StepRequest r = request(5, 1);
    requestAndAnswer(
        c, new StepRequest(key, r.trainerVersion(), 1, r.maxTokens(), cursor, r.prompts(), true));
    c.onDone(NEW, sample(port.started.get(0).order().attempt(), 5));
    assertThat(c.page().groups()).isEmpty();
    c.onRequest(request(6, 1));
    assertThat(c.page().groups()).hasSize(1);
  }

  @Test
  void completeStepIsAcknowledgedAsFinished() {
    StepCoordinator c = coordinator(1, 0.5);
    requestAndAnswer(c, request(5, 1));
    cursor = cursor.with(0);
    c.onRequest(request(5, 1));
    assertThat(c.isComplete()).isTrue();
    assertThat(port.finishedAcks).isEqualTo(2);
  }

  @Test
  void sharesEngineEvenlyAmongTrainersWithSamplesToStart() {
    EngineShares shares = EngineShares.create();
    StepCoordinator own = coordinator(1, 0.5);
    StepCoordinator other = coordinator(1, 0.5);
    shares.add(key, own);
    StepKey otherKey = new StepKey(key.profile(), new TrainerId("u"), key.step());
    shares.add(otherKey, other);
    assertThat(shares.windowsOf(key).at(NEW, 8)).isEqualTo(10);
    requestAndAnswer(other, request(5, 30));
    assertThat(other.hasSamplesToStart()).isTrue();
    assertThat(shares.windowsOf(key).at(NEW, 8)).isEqualTo(5);
  }

  private StepCoordinator coordinator(long bound, double idleWeight) {
    port.views.clear();
    port.views.add(new EngineView(OLD, new WeightVersion(4), 2));
    port.views.add(new EngineView(NEW, new WeightVersion(5), 2));
    RolloutPolicy policy = new RolloutPolicy(bound, SwapPolicy.KEEP, idleWeight);
    return StepCoordinator.create(port, policy, clock, pace, new SplittableRandom(1));
  }

  private StepRequest request(long version, int groups) {
    List<StepRequest.GroupPrompt> prompts =
        IntStream.range(0, groups)
            .mapToObj(g -> new StepRequest.GroupPrompt(g, "prompt " + g))
            .toList();
    return new StepRequest(key, new WeightVersion(version), 1, 100, cursor, prompts, false);
  }

  private void requestAndAnswer(StepCoordinator c, StepRequest request) {
    c.onRequest(request);
    List.copyOf(port.queries).forEach(a -> answer(c, a));
  }

  private static void answer(StepCoordinator c, SentQuery query) {
    c.onHeld(query.engine(), new HeldSamples(query.query(), List.of(), List.of()));
  }

  private static FinishedSample sample(AttemptKey attempt, long version) {
    return new FinishedSample(attempt, List.of(1), List.of(span(version, 0, 1)), "a", "stop");
  }

  private static VersionSpan span(long version, int from, int to) {
    return new VersionSpan(new WeightVersion(version), from, to);
  }
}
