package org.carobhoist.core.placement;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.carobhoist.core.job.ItemId;
import org.carobhoist.core.job.JobItem;
import org.junit.jupiter.api.Test;

/** Items that an engine refuses don't keep others, also of newer jobs, from the engines. */
final class RefusedItemTest extends JobCoordinatorFixture {

  private static final int TICK_MILLIS = 50;

  /** An item is lost if it is at no engine for 5 s although engines are idle. */
  private static final Duration MAX_AWAY = Duration.ofSeconds(5);

  private final List<Duration> offeredAt = new ArrayList<>();

  private static JobItem largeItem() {
    return new JobItem(
        new ItemId("large"), "g", "/p", List.of(), new byte[0], 60_000, 60_000, 60_000);
  }

  /** Advances in ticks; engines refuse each run of the item with the given id. */
  private void advanceRefusing(String item, Duration time) {
    for (long at = 0; at < time.toMillis(); at += TICK_MILLIS) {
      int before = port.started.size();
      advance(TICK_MILLIS);
      for (RunOrder o : List.copyOf(port.started.subList(before, port.started.size()))) {
        if (o.item().id().value().equals(item)) {
          offeredAt.add(clock.elapsed());
          coordinator.onReport(report(o, events(0, 0), RunOutcome.NOT_RUN));
        }
      }
    }
  }

  private boolean isStarted(String item) {
    return port.started.stream().anyMatch(o -> o.item().id().value().equals(item));
  }

  @Test
  void itemLargerThanAnyEngineDelaysNoItemOfNewerJob() {
    addEngine("e1", V6);
    activate();
    submit("j1", largeItem());
    advanceRefusing("large", Duration.ofSeconds(2));
    assertThat(offeredAt).isNotEmpty();
    submit("j2", item("i1", 9), item("i2", 9));
    advanceRefusing("large", Duration.ofMillis(TICK_MILLIS));
    assertThat(isStarted("i1")).isTrue();
    assertThat(isStarted("i2")).isTrue();
  }

  @Test
  void itemLargerThanAnyEngineIsOfferedRarelyButNotForgotten() {
    addEngine("e1", V6);
    activate();
    submit("j1", largeItem());
    advanceRefusing("large", Duration.ofSeconds(30));
    assertThat(offeredAt.size()).isAtMost(15);
    for (int i = 1; i < offeredAt.size(); i++) {
      assertThat(offeredAt.get(i).minus(offeredAt.get(i - 1))).isLessThan(MAX_AWAY);
    }
    assertThat(clock.elapsed().minus(offeredAt.get(offeredAt.size() - 1))).isLessThan(MAX_AWAY);
  }

  @Test
  void idleEngineIsOfferedToAnotherItemAfterItRefusedOne() {
    addEngine("e1", V6);
    activate();
    submit("j1", item("odd", 9));
    advanceRefusing("odd", Duration.ofMillis(TICK_MILLIS));
    submit("j2", item("i1", 9));
    advanceRefusing("odd", PlacementPolicy.DEFAULT.refusalPause());
    assertThat(offeredAt).hasSize(1);
    assertThat(isStarted("i1")).isTrue();
  }
}
