package org.carobhoist.core.placement;

import static com.google.common.truth.Truth.assertThat;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import org.carobhoist.core.job.ItemId;
import org.carobhoist.core.job.Job;
import org.carobhoist.core.job.JobContent;
import org.carobhoist.core.job.JobItem;
import org.carobhoist.core.store.StoredRecord;
import org.junit.jupiter.api.Test;

/** Guards against items of a step that take slots which other items need to be on time. */
final class StepOrderTest extends JobCoordinatorFixture {

  private int wantedGroups;

  @Override
  JobContent content(byte[] any) {
    return new JobContent(0, "m", minVersion, wantedGroups, items);
  }

  private static JobItem item(String group, String id, int events) {
    return new JobItem(new ItemId(id), group, "/p", List.of(), new byte[0], 10, 0, events * 10);
  }

  private Job submitStep(String id, int wanted, JobItem... jobItems) {
    wantedGroups = wanted;
    return submit(id, jobItems);
  }

  private List<String> startedItems() {
    return port.started.stream().map(o -> o.item().id().toString()).toList();
  }

  private List<String> startedJobs() {
    return port.started.stream().map(o -> o.job().toString()).toList();
  }

  private void record(String key) {
    byte[] value = "x".getBytes(StandardCharsets.UTF_8);
    view.shardListener(0).onRecord(new StoredRecord(100 + port.started.size(), key, value));
  }

  @Test
  void groupsThatAreNotWantedComeLast() {
    addEngine("e1", V6);
    activate();
    submitStep(
        "j1", 1, item("b", "b1", 60), item("b", "b2", 50), item("a", "a1", 5), item("a", "a2", 9));
    advance(50);
    assertThat(startedItems()).containsExactly("a2", "a1").inOrder();
  }

  @Test
  void groupThatLacksOneItemIsPreferredToShorterOne() {
    activate();
    Job job =
        submitStep(
            "j1",
            1,
            item("a", "a1", 20),
            item("b", "b1", 90),
            item("b", "b2", 15),
            item("c", "c1", 17));
    record("result/j1/b1");
    coordinator.onResultPublished(job, job.result(new ItemId("b1")).orElseThrow());
    addEngine("e1", V6);
    advance(50);
    assertThat(startedItems()).containsExactly("b2", "c1").inOrder();
  }

  @Test
  void groupSubmittedAgainIsWantedEvenIfItLacksMostWork() {
    activate();
    Job first = submitStep("j1", 1, item("b", "b1", 60), item("b", "b2", 50));
    record("end/j1");
    coordinator.onEnded(first);
    advance(50);
    submitStep("j2", 1, item("b", "b1", 60), item("b", "b2", 50), item("a", "a1", 5));
    addEngine("e1", V6);
    advance(50);
    assertThat(startedItems()).containsExactly("b1", "b2").inOrder();
  }

  @Test
  void stepThatCannotBeOnTimeYieldsButKeepsShare() {
    activate();
    submitStep("late", 1, item("a", "a1", 900), item("a", "a2", 900), item("a", "a3", 900));
    advance(50);
    submitStep(
        "new",
        1,
        item("b", "b1", 20),
        item("b", "b2", 20),
        item("b", "b3", 20),
        item("b", "b4", 20));
    addEngine("e1", V6);
    addEngine("e2", V6);
    advance(50);
    assertThat(startedJobs()).containsExactly("late", "new", "new", "new").inOrder();
  }

  @Test
  void olderStepComesFirstIfBothCanBeOnTime() {
    activate();
    submitStep("old", 1, item("a", "a1", 20), item("a", "a2", 20));
    advance(500);
    submitStep("new", 1, item("b", "b1", 20), item("b", "b2", 20));
    addEngine("e1", V6);
    advance(50);
    assertThat(startedJobs()).containsExactly("old", "old");
  }

  @Test
  void slowClockOfAcceptingProcessDoesNotMakeStepLate() {
    activate();
    clock.setSkew(Duration.ofSeconds(-2));
    submitStep("slow-clock", 1, item("a", "a1", 130), item("a", "a2", 130));
    clock.setSkew(Duration.ZERO);
    submitStep("other", 1, item("b", "b1", 20), item("b", "b2", 20));
    addEngine("e1", V6);
    advance(50);
    assertThat(startedJobs()).containsExactly("slow-clock", "slow-clock");
  }

  @Test
  void jobsWithoutNumberOfWantedGroupsRunOlderFirstThenLongest() {
    activate();
    submitStep("old", 0, item("a", "a1", 5), item("a", "a2", 9));
    advance(50);
    submitStep("new", 0, item("b", "b1", 900));
    addEngine("e1", V6);
    advance(50);
    assertThat(startedItems()).containsExactly("a2", "a1").inOrder();
  }

  @Test
  void olderJobWithoutNumberOfWantedGroupsPrecedesNewerStep() {
    activate();
    submitStep("old", 0, item("", "a1", 5), item("", "a2", 9));
    advance(50);
    submitStep("new", 1, item("b", "b1", 60));
    addEngine("e1", V6);
    advance(50);
    assertThat(startedItems()).containsExactly("a2", "a1").inOrder();
  }
}
