package org.carobhoist.core.placement;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.carobhoist.core.common.InstanceId;
import org.carobhoist.core.common.RequestId;
import org.carobhoist.core.common.WeightVersion;
import org.carobhoist.core.job.ItemId;
import org.carobhoist.core.job.ItemResult;
import org.carobhoist.core.job.Job;
import org.carobhoist.core.job.JobHead;
import org.carobhoist.core.job.JobId;
import org.carobhoist.core.job.JobItem;
import org.carobhoist.core.job.RewardRequest;
import org.carobhoist.core.manifest.JobRules;
import org.carobhoist.core.store.StoredRecord;
import org.junit.jupiter.api.Test;

final class JobCoordinatorTest extends JobCoordinatorFixture {

  @Test
  void startsNoRunBeforeRunnersHaveReportedTheirRuns() {
    addEngine("e1", V6);
    coordinator.activate(1);
    submit("j1", item("i1", 5));
    coordinator.tick(clock.now());
    assertThat(port.started).isEmpty();
    RunReport held =
        new RunReport(
            77,
            new JobId("j1"),
            new ItemId("i1"),
            new InstanceId("e1"),
            events(0, 3, V6),
            RunOutcome.RUNNING,
            V6);
    coordinator.onRunnerState(OTHER_RUNNER, List.of(held));
    advance(400);
    assertThat(port.started).isEmpty();
    assertThat(coordinator.runningCount()).isEqualTo(1);
  }

  @Test
  void placesLongestItemsFirstAndNoMoreThanTheSlots() {
    addEngine("e1", V6);
    activate();
    submit("j1", item("short", 2), item("long", 90), item("middle", 20));
    advance(50);
    assertThat(port.started.stream().map(o -> o.item().id().value()).toList())
        .containsExactly("long", "middle")
        .inOrder();
  }

  private static JobItem itemWithEstimate(String id, int maxEvents, int expectedEvents) {
    return new JobItem(
        new ItemId(id), "g", "/p", List.of(), new byte[0], 10, maxEvents * 10, expectedEvents * 10);
  }

  @Test
  void estimateAboveMaxTokensReservesNoMoreThanMaxTokens() {
    addEngine("e1", V6);
    activate();
    submit("j1", itemWithEstimate("i1", 4_900, 40_000), itemWithEstimate("i2", 4_400, 40_000));
    advance(50);
    assertThat(port.started).hasSize(2);
  }

  @Test
  void continuesBrokenRunAtAnotherEngineFromItsText() {
    addEngine("e1", V6);
    addEngine("e2", V6);
    activate();
    submit("j1", item("i1", 9));
    advance(50);
    RunOrder first = port.last();
    coordinator.onReport(report(first, events(0, 4, V6), RunOutcome.RUNNING));
    coordinator.onReport(report(first, events(4, 1, V6), RunOutcome.BROKEN));
    advance(50);
    RunOrder second = port.last();
    assertThat(second.run()).isNotEqualTo(first.run());
    assertThat(second.engine()).isNotEqualTo(first.engine());
    assertThat(second.prefix().eventCount()).isEqualTo(5);
    assertThat(second.prefix().lastId()).isEqualTo("5");
  }

  @Test
  void continuesItemsOfLostRunnerFromReportedText() {
    addEngine("e1", V6);
    activate();
    submit("j1", item("i1", 9));
    advance(50);
    coordinator.onReport(report(port.last(), events(0, 4, V6), RunOutcome.RUNNING));
    coordinator.onRunnerLost(RUNNER);
    advance(50);
    assertThat(port.started).hasSize(2);
    assertThat(port.last().prefix().eventCount()).isEqualTo(4);
  }

  @Test
  void wholeTextSentAgainByRunnerReplacesKnownPart() {
    addEngine("e1", V6);
    activate();
    submit("j1", item("i1", 9));
    advance(50);
    coordinator.onReport(report(port.last(), events(0, 4, V6), RunOutcome.RUNNING));
    RunReport again = report(port.last(), events(0, 7, V6), RunOutcome.RUNNING);
    coordinator.onRunnerState(RUNNER, List.of(again));
    coordinator.onReport(report(port.last(), events(7, 2, V6), RunOutcome.FINISHED));
    advance(2_600);
    assertThat(port.published).containsExactly("j1 i1 done");
    assertThat(port.results.get(0).pageEntry()).isEqualTo(events(0, 9, V6).content());
  }

  @Test
  void doesNotPublishTextWithGapButContinuesItsBeginning() {
    addEngine("e1", V6);
    activate();
    submit("j1", item("i1", 9));
    advance(50);
    coordinator.onReport(report(port.last(), events(0, 4, V6), RunOutcome.RUNNING));
    coordinator.onReport(report(port.last(), events(6, 3, V6), RunOutcome.FINISHED));
    advance(2_600);
    assertThat(port.published).isEmpty();
    assertThat(port.started).hasSize(2);
    assertThat(port.last().prefix().eventCount()).isEqualTo(4);
  }

  @Test
  void assignsNoRunsToRunnersWithLittleCpuCapacity() {
    for (int i = 0; i < 8; i++) {
      addEngine("e" + i, V6);
      port.runners.add(new PlacementPort.Runner(new InstanceId("weak-" + i), ZONE, 270));
    }
    port.runners.add(new PlacementPort.Runner(OTHER_RUNNER, ZONE, 1_500));
    activate();
    JobItem[] jobItems = new JobItem[16];
    for (int i = 0; i < jobItems.length; i++) {
      jobItems[i] = item("i" + i, 9);
    }
    submit("j1", jobItems);
    advance(50);
    assertThat(port.started).hasSize(16);
    assertThat(Set.copyOf(port.assignedRunners)).containsExactly(RUNNER, OTHER_RUNNER);
  }

  @Test
  void cancelsSilentRunBeforePlacingItsItemAgain() {
    addEngine("e1", V6);
    addEngine("e2", V6);
    activate();
    submit("j1", item("i1", 9));
    advance(50);
    final RunOrder first = port.last();
    advance(1_600);
    assertThat(port.cancelled).containsExactly(first.run());
    assertThat(port.started).hasSize(1);
    coordinator.onReport(report(first, TextDelta.NONE, RunOutcome.CANCELLED));
    advance(50);
    assertThat(port.started).hasSize(2);
    assertThat(port.last().engine()).isNotEqualTo(first.engine());
  }

  @Test
  void assignsNoRunsToEngineWithOldVersionOrLoadingWeights() {
    addEngine("old", new WeightVersion(5));
    addEngine("busy", V6);
    port.loading.add(new InstanceId("busy"));
    activate();
    submit("j1", item("i1", 9));
    advance(50);
    assertThat(port.started).isEmpty();
    coordinator.onEngineVersion(new InstanceId("old"), "m", V6);
    advance(50);
    assertThat(port.last().engine().value()).isEqualTo("old");
  }

  @Test
  void singleVersionItemIsNotPlacedAtEngineThatAwaitsLoad() {
    addEngine("e1", V6);
    port.awaitingLoad.add(new InstanceId("e1"));
    activate();
    submit("j1", item("i1", 5));
    advance(50);
    assertThat(port.last().item().id()).isEqualTo(new ItemId("i1"));
    assertThat(port.last().singleVersion()).isFalse();
    singleVersion = true;
    submit("j2", item("i2", 5));
    advance(50);
    assertThat(port.started).hasSize(1);
    port.awaitingLoad.clear();
    advance(50);
    assertThat(port.last().item().id()).isEqualTo(new ItemId("i2"));
    assertThat(port.last().singleVersion()).isTrue();
  }

  @Test
  void singleVersionItemBeginsAgainIfNoEngineServesTheVersionOfItsText() {
    addEngine("e1", V6);
    activate();
    singleVersion = true;
    submit("j1", item("i1", 9));
    advance(50);
    coordinator.onReport(report(port.last(), events(0, 4, V6), RunOutcome.BROKEN));
    addEngine("e2", V7);
    advance(1_000);
    // The first engine can continue the text.
    assertThat(port.last().prefix().eventCount()).isEqualTo(4);
    coordinator.onReport(report(port.last(), events(4, 1, V6), RunOutcome.BROKEN));
    coordinator.onEngineVersion(new InstanceId("e1"), "m", V7);
    advance(1_000);
    assertThat(port.started).hasSize(3);
    assertThat(port.last().prefix().eventCount()).isEqualTo(0);
    assertThat(port.last().requiredVersion()).isEmpty();
  }

  @Test
  void logsWaitCausesOncePerSecond() {
    addEngine("old", new WeightVersion(5));
    activate();
    submit("j1", item("i1", 9), item("i2", 9), item("i3", 9));
    advance(50);
    assertThat(port.waits).containsExactly(Map.of(WaitCause.VERSION, 3));
    addEngine("e1", V6);
    advance(50);
    assertThat(port.started).hasSize(2);
    advance(1_000);
    assertThat(port.waits.get(1)).containsExactly(WaitCause.SLOTS, 1);
    port.loading.add(new InstanceId("e1"));
    advance(1_100);
    assertThat(port.waits.get(2)).containsExactly(WaitCause.LOADING, 1);
    assertThat(port.waits).hasSize(3);
  }

  @Test
  void givesUpItemAfterMaxAttemptsOrRetentionTime() {
    addEngine("e1", V6);
    activate();
    submit("j1", item("i1", 9), item("i2", 9));
    advance(50);
    for (int i = 0; i < 3; i++) {
      RunOrder order =
          port.started.stream()
              .filter(o -> o.item().id().value().equals("i1"))
              .reduce((a, b) -> b)
              .orElseThrow();
      coordinator.onReport(report(order, TextDelta.NONE, RunOutcome.FAILED));
      advance(300);
    }
    assertThat(port.published).containsExactly("j1 i1 given up");
    advance(41_000);
    assertThat(port.published).containsExactly("j1 i1 given up", "j1 i2 given up").inOrder();
  }

  @Test
  void givesUpImpossibleItemAtOnce() {
    addEngine("e1", V6);
    activate();
    submit("j1", item("i1", 9));
    advance(50);
    coordinator.onReport(report(port.last(), TextDelta.NONE, RunOutcome.IMPOSSIBLE));
    assertThat(port.published).containsExactly("j1 i1 given up");
  }

  @Test
  void cancelsRunsOfEndedJobAndKeepsTheirTexts() {
    addEngine("e1", V6);
    activate();
    Job job = submit("j1", item("i1", 9));
    advance(50);
    RunOrder first = port.last();
    coordinator.onReport(report(first, events(0, 4, V6), RunOutcome.RUNNING));
    coordinator.onEnded(job);
    assertThat(port.cancelled).containsExactly(first.run());
    submit("j2", item("i1", 9));
    advance(50);
    assertThat(port.last().job().value()).isEqualTo("j2");
    assertThat(port.last().prefix().eventCount()).isEqualTo(4);
  }

  @Test
  void doesNotReuseTextOfOldWeightVersion() {
    addEngine("e1", V7);
    activate();
    Job job = submit("j1", item("i1", 9));
    advance(50);
    coordinator.onReport(report(port.last(), events(0, 4, V6), RunOutcome.RUNNING));
    coordinator.onEnded(job);
    minVersion = V7;
    submit("j2", item("i1", 9));
    advance(50);
    assertThat(port.last().prefix().eventCount()).isEqualTo(0);
  }

  @Test
  void publishesFinishedItemIfItsRunnerDoesNot() {
    addEngine("e1", V6);
    activate();
    submit("j1", item("i1", 2));
    advance(50);
    coordinator.onReport(report(port.last(), events(0, 2, V6), RunOutcome.FINISHED));
    advance(1_000);
    assertThat(port.published).isEmpty();
    advance(2_000);
    assertThat(port.published).containsExactly("j1 i1 done");
    assertThat(port.started).hasSize(1);
  }

  private static JobItem itemWithReward(String id, String scorer) {
    return item(id, 9)
        .withReward(new RewardRequest(new RequestId(scorer), "b.example", "/score", new byte[0]));
  }

  @Test
  void scoresCompleteTextOfLostRunnerWithoutRunningItAgain() {
    addEngine("e1", V6);
    activate();
    submit("j1", itemWithReward("i1", "s1"));
    advance(50);
    coordinator.onReport(report(port.last(), events(0, 2, V6), RunOutcome.FINISHED));
    coordinator.onRunnerLost(RUNNER);
    assertThat(port.scored).containsExactly("j1 s1");
    advance(1_000);
    assertThat(port.started).hasSize(1);
  }

  @Test
  void newCoordinatorDoesNotRerunCompleteTextHeldByRunner() {
    addEngine("e1", V6);
    coordinator.activate(1);
    submit("j1", itemWithReward("i1", "s1"));
    RunReport held =
        new RunReport(
            77,
            new JobId("j1"),
            new ItemId("i1"),
            new InstanceId("e1"),
            events(0, 3, V6),
            RunOutcome.FINISHED,
            V6);
    coordinator.onRunnerState(OTHER_RUNNER, List.of(held));
    advance(400);
    assertThat(port.started).isEmpty();
    assertThat(port.cancelled).isEmpty();
    coordinator.onRunnerLost(OTHER_RUNNER);
    assertThat(port.scored).containsExactly("j1 s1");
  }

  @Test
  void completeTextOfEndedJobNeedsOnlyScoreOfNextJob() {
    addEngine("e1", V6);
    activate();
    Job job = submit("j1", itemWithReward("i1", "s1"));
    advance(50);
    coordinator.onReport(report(port.last(), events(0, 2, V6), RunOutcome.FINISHED));
    coordinator.onEnded(job);
    submit("j2", itemWithReward("i1", "s2"));
    advance(400);
    assertThat(port.started).hasSize(1);
    assertThat(port.scored).containsExactly("j2 s2");
  }

  @Test
  void scoresReusedResultAgainForDifferentRewardCall() {
    minVersion = new WeightVersion(1);
    addEngine("e1", V6);
    activate();
    submit("j1", itemWithReward("i1", "s1"));
    view.shardListener(0).onRecord(new StoredRecord(9, "result/j1/i1", new byte[] {'x'}));
    submit("j2", itemWithReward("i1", "s2"));
    assertThat(port.scored).containsExactly("j2 s2");
    submit("j3", itemWithReward("i1", "s1"));
    assertThat(port.published).containsExactly("j3 i1 done");
  }

  @Test
  void forwardsReportThatEngineIsShuttingDown() {
    addEngine("e1", V6);
    activate();
    submit("j1", item("i1", 9));
    advance(50);
    RunOrder o = port.last();
    coordinator.onReport(
        new RunReport(
            o.run(),
            o.job(),
            o.item().id(),
            o.engine(),
            TextDelta.NONE,
            RunOutcome.NOT_RUN,
            V6,
            true));
    assertThat(port.leaving).containsExactly(new InstanceId("e1"));
  }

  @Test
  void movesRunFromSlowEngineToFasterOneWithRoom() {
    addEngine("e1", V6);
    activate();
    submit("j1", item("i1", 100), item("i2", 100));
    advance(50);
    for (int i = 0; i < 5; i++) {
      advance(300);
      for (RunOrder o : List.copyOf(port.started)) {
        coordinator.onReport(report(o, events(i * 2, 2, V6), RunOutcome.RUNNING));
      }
    }
    assertThat(port.cancelled).isEmpty();
    addEngine("e2", V6);
    advance(50);
    assertThat(port.cancelled).hasSize(1);
  }

  @Test
  void dropsProvisionalJobThatIsNeverStored() {
    addEngine("e1", V6);
    activate();
    items = List.of(item("i1", 9));
    JobHead head =
        new JobHead(
            new JobId("j1"),
            SERVICE,
            "a.example",
            "jobs",
            Instant.EPOCH.plus(Duration.between(Instant.EPOCH, clock.now())),
            new JobRules(Duration.ofSeconds(7), Duration.ofSeconds(40), false),
            3,
            1);
    coordinator.onProvisional(view.createProvisionalJob(head, new byte[0]));
    advance(50);
    assertThat(coordinator.runningCount()).isEqualTo(1);
    advance(16_000);
    assertThat(coordinator.runningCount()).isEqualTo(0);
    assertThat(port.published).isEmpty();
  }

  /** Reports one event of each run every 40 ms. */
  private void generate(int first, int count, RunOrder... orders) {
    for (int i = first; i < first + count; i++) {
      for (RunOrder order : orders) {
        coordinator.onReport(report(order, events(i, 1, V6), RunOutcome.RUNNING));
      }
      advance(40);
    }
  }

  /** Ends all processes in the middle of a run; another process becomes coordinator. */
  private void loseEveryProcess() {
    coordinator.deactivate();
    clock.advance(Duration.ofSeconds(2));
    coordinator.activate(2);
    coordinator.onCheckpointsLoaded(List.copyOf(port.checkpoints.values()));
  }

  @Test
  void itemsDoNotRunAgainFromTheirFirstEventAfterTheLossOfEveryProcess() {
    addEngine("e1", V6);
    activate();
    submit("j1", item("i1", 60));
    advance(50);
    RunOrder first = port.last();
    generate(0, 40, first);
    loseEveryProcess();
    advance(400);
    assertThat(port.last().run()).isNotEqualTo(first.run());
    // What is lost is the last half second and less than what is worth an append.
    assertThat(port.last().prefix().eventCount()).isAtLeast(40 - 13 - 10);
    assertThat(port.last().prefix().lastId())
        .isEqualTo(Integer.toString(port.last().prefix().eventCount()));
  }

  @Test
  void runReportedByItsRunnerIsAdoptedInsteadOfItsStoredText() {
    addEngine("e1", V6);
    activate();
    submit("j1", item("i1", 60));
    advance(50);
    RunOrder first = port.last();
    generate(0, 30, first);
    assertThat(port.checkpoints).hasSize(1);
    coordinator.deactivate();
    coordinator.activate(2);
    RunReport held = report(first, events(0, 33, V6), RunOutcome.RUNNING);
    coordinator.onRunnerState(RUNNER, List.of(held));
    assertThat(coordinator.onCheckpointsLoaded(port.checkpoints.values())).isEqualTo(0);
    advance(400);
    assertThat(port.started).containsExactly(first);
    coordinator.onRunnerLost(RUNNER);
    advance(50);
    assertThat(port.last().prefix().eventCount()).isEqualTo(33);
  }

  @Test
  void storedTextOfTooOldVersionIsNotContinued() {
    addEngine("e1", V6);
    activate();
    submit("j1", item("i1", 60));
    advance(50);
    generate(0, 30, port.last());
    ItemKey key = new ItemKey(new JobId("j1"), new ItemId("i1"));
    port.checkpoints.put(key, new TextCheckpoint(key, events(0, 30, new WeightVersion(5))));
    loseEveryProcess();
    advance(400);
    assertThat(port.last().prefix().eventCount()).isEqualTo(0);
  }

  @Test
  void storedTextsOfListedItemsAreDeletedAlsoByTheNextCoordinator() {
    addEngine("e1", V6);
    activate();
    final Job job = submit("j1", item("i1", 60), item("i2", 60));
    advance(50);
    generate(0, 30, port.started.get(0), port.started.get(1));
    assertThat(port.checkpoints).hasSize(2);
    coordinator.onResultPublished(
        job, new ItemResult(new ItemId("i1"), false, Set.of(V6), new byte[0]));
    advance(500);
    assertThat(port.checkpoints).hasSize(1);
    coordinator.deactivate();
    coordinator.onEnded(job);
    view.shardListener(0).onRecord(new StoredRecord(heads.size() + 1, "end/j1", new byte[] {1}));
    coordinator.activate(2);
    coordinator.onCheckpointsLoaded(List.copyOf(port.checkpoints.values()));
    advance(400);
    advance(500);
    assertThat(port.checkpoints).isEmpty();
  }

  @Test
  void shortProgressCausesNoAppendAndAnAbsentStoreIsTriedAgainLater() {
    addEngine("e1", V6);
    activate();
    submit("j1", item("i1", 90));
    advance(50);
    RunOrder order = port.last();
    generate(0, 9, order);
    advance(500);
    assertThat(port.appends).isEqualTo(0);
    port.storeAway = true;
    generate(9, 15, order);
    port.storeAway = false;
    generate(24, 15, order);
    assertThat(port.appends).isEqualTo(0);
    generate(39, 45, order);
    assertThat(port.appends).isAtLeast(1);
  }
}
