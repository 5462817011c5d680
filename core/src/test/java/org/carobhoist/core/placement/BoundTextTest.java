package org.carobhoist.core.placement;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.carobhoist.core.common.InstanceId;
import org.carobhoist.core.job.ItemId;
import org.carobhoist.core.job.JobId;
import org.carobhoist.core.membership.ServerEntry;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against items that stay without an engine because their text is bound to a version that
 * only an unusable engine serves, while another engine could run them from the start.
 */
final class BoundTextTest extends JobCoordinatorFixture {

  /** Time after which an open item of a step must be at an engine again, if one has room. */
  private static final Duration MAX_TIME_WITHOUT_ENGINE = Duration.ofSeconds(5);

  private static final Duration STEP = Duration.ofMillis(50);

  private static final InstanceId E1 = new InstanceId("e1");
  private static final InstanceId E2 = new InstanceId("e2");

  @BeforeEach
  void requireSingleVersion() {
    singleVersion = true;
    minVersion = V5;
  }

  /** Starts an item at the only engine, breaks its run off, and updates that engine to V7. */
  private void bindTextToV6() {
    addEngine("e1", V6);
    activate();
    submit("j1", item("i1", 9));
    advance(50);
    RunOrder first = port.last();
    assertThat(first.engine()).isEqualTo(E1);
    coordinator.onReport(report(first, events(0, 4, V6), RunOutcome.RUNNING));
    coordinator.onEngineVersion(E1, "m", V7);
    coordinator.onReport(report(first, TextDelta.NONE, RunOutcome.MISPLACED));
  }

  /** Advances the time until a run of the item has been ordered at the given engine. */
  private void assertRunsInTimeAt(InstanceId engine) {
    int before = port.started.size();
    for (Duration t = Duration.ZERO; t.compareTo(MAX_TIME_WITHOUT_ENGINE) < 0; t = t.plus(STEP)) {
      advance(STEP.toMillis());
      List<RunOrder> orders = port.started.subList(before, port.started.size());
      if (orders.stream().anyMatch(o -> o.engine().equals(engine))) {
        assertThat(port.last().prefix().eventCount()).isEqualTo(0);
        assertThat(port.last().requiredVersion()).isEmpty();
        return;
      }
    }
    throw new AssertionError("no run at " + engine + " in time; runs: " + port.started);
  }

  @Test
  void engineThatAwaitsItsLoadDoesNotKeepTextBound() {
    bindTextToV6();
    addEngine("e2", V6);
    port.awaitingLoad.add(E2);
    assertRunsInTimeAt(E1);
  }

  @Test
  void engineWhoseLoadIsAnsweredLateDoesNotKeepTextBound() {
    bindTextToV6();
    addEngine("e2", V6);
    port.loading.add(E2);
    assertRunsInTimeAt(E1);
  }

  @Test
  void engineThatNoLongerFollowsTheModelDoesNotKeepTextBound() {
    bindTextToV6();
    addEngine("e2", V5);
    port.loading.add(E2);
    assertRunsInTimeAt(E1);
  }

  @Test
  void engineOfAnotherModelDoesNotKeepTextBound() {
    bindTextToV6();
    addEngine("e2", V6);
    ServerEntry listed = port.engines.remove(1);
    port.engines.add(
        new ServerEntry(
            listed.announcement(),
            listed.address(),
            listed.port(),
            Map.of("other", V6),
            listed.writeOrder()));
    assertRunsInTimeAt(E1);
  }

  @Test
  void fullEngineDoesNotKeepTextBound() {
    addEngine("e1", V6);
    activate();
    submit("j1", item("long1", 900), item("long2", 900));
    advance(50);
    coordinator.onReport(report(port.started.get(0), events(0, 4, V6), RunOutcome.RUNNING));
    coordinator.onReport(report(port.started.get(1), events(0, 4, V6), RunOutcome.RUNNING));
    addEngine("e2", V6);
    submit("j2", item("i1", 9));
    advance(50);
    RunOrder short1 = port.last();
    assertThat(short1.engine()).isEqualTo(E2);
    coordinator.onReport(report(short1, events(0, 4, V6), RunOutcome.RUNNING));
    coordinator.onEngineVersion(E2, "m", V7);
    coordinator.onReport(report(short1, TextDelta.NONE, RunOutcome.MISPLACED));
    int before = port.started.size();
    for (int i = 1; i < 90; i++) {
      coordinator.onReport(report(port.started.get(0), events(3 + i, 1, V6), RunOutcome.RUNNING));
      coordinator.onReport(report(port.started.get(1), events(3 + i, 1, V6), RunOutcome.RUNNING));
      advance(50);
    }
    assertThat(port.started).hasSize(before + 1);
    assertThat(port.last().engine()).isEqualTo(E2);
    assertThat(port.last().prefix().eventCount()).isEqualTo(0);
  }

  @Test
  void newCoordinatorDoesNotKeepStoredTextBound() {
    bindTextToV6();
    addEngine("e2", V6);
    port.awaitingLoad.add(E2);
    coordinator.deactivate();
    coordinator.activate(2);
    coordinator.onEngineVersion(E1, "m", V7);
    ItemKey key = new ItemKey(new JobId("j1"), new ItemId("i1"));
    coordinator.onCheckpointsLoaded(List.of(new TextCheckpoint(key, events(0, 4, V6))));
    advance(50);
    port.engines.set(0, withVersion(port.engines.get(0)));
    assertRunsInTimeAt(E1);
  }

  private static ServerEntry withVersion(ServerEntry e) {
    return new ServerEntry(
        e.announcement(), e.address(), e.port(), Map.of("m", V7), e.writeOrder());
  }

  @Test
  void engineThatLeavesWithTheOnlyTextDoesNotKeepItBound() {
    bindTextToV6();
    addEngine("e2", V6);
    port.awaitingLoad.add(E2);
    advance(100);
    port.engines.remove(1);
    assertRunsInTimeAt(E1);
  }

  @Test
  void textIsKeptWhileItsVersionIsOnlyBrieflyUnavailable() {
    bindTextToV6();
    addEngine("e2", V6);
    port.loading.add(E2);
    advance(1_000);
    advance(500);
    port.loading.clear();
    advance(50);
    assertThat(port.last().engine()).isEqualTo(E2);
    assertThat(port.last().prefix().eventCount()).isEqualTo(4);
    assertThat(port.last().prefix().versions()).isEqualTo(Set.of(V6));
  }

  @Test
  void textIsKeptWhileNoEngineCouldRunTheItemFromItsStart() {
    bindTextToV6();
    addEngine("e2", V6);
    port.loading.add(E2);
    port.loading.add(E1);
    for (int i = 0; i < 100; i++) {
      advance(50);
    }
    port.loading.clear();
    advance(50);
    assertThat(port.last().engine()).isEqualTo(E2);
    assertThat(port.last().prefix().eventCount()).isEqualTo(4);
  }
}
