package org.carobhoist.core.placement;

import static com.google.common.truth.Truth.assertThat;

import org.carobhoist.core.common.InstanceId;
import org.junit.jupiter.api.Test;

/** Guards against runs that are moved to a slot which a waiting item takes in the same tick. */
final class RunMoveTest extends JobCoordinatorFixture {

  private static final InstanceId SLOW = new InstanceId("slow");
  private static final InstanceId FAST = new InstanceId("fast");

  /** Fills both engines, of which one turns out to be slow, and ends one run at the fast one. */
  private void freeSlotAtFastEngine(boolean itemWaits) {
    addEngine("slow", V6);
    addEngine("fast", V6);
    activate();
    submit("j1", item("i1", 99), item("i2", 99), item("i3", 99), item("i4", 99));
    advance(50);
    assertThat(port.started).hasSize(4);
    if (itemWaits) {
      submit("j2", item("i5", 99));
    }
    advance(400);
    for (RunOrder o : port.started) {
      TextDelta text = o.engine().equals(SLOW) ? events(0, 2, V6) : events(0, 40, V6);
      coordinator.onReport(report(o, text, RunOutcome.RUNNING));
    }
    RunOrder atFast =
        port.started.stream().filter(o -> o.engine().equals(FAST)).findFirst().orElseThrow();
    coordinator.onReport(report(atFast, events(40, 1, V6), RunOutcome.FINISHED));
    advance(50);
  }

  @Test
  void waitingItemTakesSlotInsteadOfMovedRun() {
    freeSlotAtFastEngine(true);
    assertThat(port.started).hasSize(5);
    assertThat(port.last().engine()).isEqualTo(FAST);
    assertThat(port.cancelled).isEmpty();
  }

  @Test
  void runMovesToSlotThatNoItemWaitsFor() {
    freeSlotAtFastEngine(false);
    assertThat(port.cancelled).hasSize(1);
  }
}
