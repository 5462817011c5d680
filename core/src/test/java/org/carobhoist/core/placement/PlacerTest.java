package org.carobhoist.core.placement;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.IntToDoubleFunction;
import org.carobhoist.core.common.EndpointKind;
import org.carobhoist.core.common.Incarnation;
import org.carobhoist.core.common.InstanceId;
import org.carobhoist.core.common.ServiceName;
import org.carobhoist.core.common.WeightVersion;
import org.carobhoist.core.common.Zone;
import org.carobhoist.core.manifest.EngineSpec;
import org.carobhoist.core.membership.EndpointAnnouncement;
import org.carobhoist.core.membership.EndpointPhase;
import org.carobhoist.core.membership.ServerEntry;
import org.junit.jupiter.api.Test;

/** Placement at engines whose time between events is a function of their runs. */
final class PlacerTest {

  private static final int SLOTS = 8;
  private static final int EVENTS_PER_RUN = 100;
  private static final Duration REPORT_PERIOD = Duration.ofMillis(150);

  private final Placer placer = new Placer(PlacementPolicy.DEFAULT);
  private final List<EngineLoad> engines = new ArrayList<>();
  private final List<IntToDoubleFunction> intervals = new ArrayList<>();
  private Duration now = Duration.ofSeconds(1);
  private int nextItem;

  /** Guards against equal engines that no longer get equal numbers of runs. */
  @Test
  void equalEnginesGetEqualNumbersOfRuns() {
    for (int i = 0; i < 4; i++) {
      addEngine(runs -> 40 + runs);
    }
    assertThat(runsAfterPlacing(16)).isEqualTo(new int[] {4, 4, 4, 4});
    assertThat(meanRuns(16, 20)).usingTolerance(0.7).containsExactly(4, 4, 4, 4).inOrder();
  }

  /** Guards against filling all slots of an engine that slows down when over half full. */
  @Test
  void engineThatSlowsDownHalfFullGetsFewerRuns() {
    for (int i = 0; i < 3; i++) {
      addEngine(runs -> 40);
    }
    addEngine(runs -> 40 * Math.max(1, runs / 4.0));
    double[] mean = meanRuns(4 * SLOTS, 20);
    assertThat(mean[3]).isLessThan(SLOTS - 1.5);
    assertThat(mean[3]).isGreaterThan(2.5);
    assertThat(mean[0]).isGreaterThan(SLOTS - 1.0);
  }

  /** Guards against leaving slots empty when every engine slows down with its load. */
  @Test
  void noEngineIsLimitedWhenAllAreSlow() {
    for (int i = 0; i < 4; i++) {
      addEngine(runs -> 40 * Math.max(1, runs / 4.0));
    }
    for (double mean : meanRuns(4 * SLOTS, 20)) {
      assertThat(mean).isGreaterThan(SLOTS - 1.0);
    }
  }

  private int[] runsAfterPlacing(int items) {
    place(items);
    return engines.stream().mapToInt(e -> e.items().size()).toArray();
  }

  /** Keeps the given number of items running; returns the mean number of runs at each engine. */
  private double[] meanRuns(int items, int seconds) {
    double[] sums = new double[engines.size()];
    long steps = Duration.ofSeconds(seconds).dividedBy(REPORT_PERIOD);
    for (long i = 0; i < 2 * steps; i++) {
      step(items);
      for (int e = 0; e < sums.length && i >= steps; e++) {
        sums[e] += engines.get(e).items().size();
      }
    }
    return Arrays.stream(sums).map(s -> s / steps).toArray();
  }

  private void step(int items) {
    now = now.plus(REPORT_PERIOD);
    for (int i = 0; i < engines.size(); i++) {
      EngineLoad engine = engines.get(i);
      double interval = intervals.get(i).applyAsDouble(engine.items().size());
      int events = Math.max(1, (int) (REPORT_PERIOD.toMillis() / interval));
      for (ItemState item : List.copyOf(engine.items())) {
        engine.onProgress(events, Duration.ofNanos((long) (events * interval * 1e6)), now);
        item.text().append(JobCoordinatorFixture.events(item.text().eventCount(), events));
        if (item.text().eventCount() >= EVENTS_PER_RUN) {
          item.clearRun(ItemState.Phase.DONE, now);
        }
      }
    }
    place(items);
  }

  private void place(int items) {
    int running = engines.stream().mapToInt(e -> e.items().size()).sum();
    for (int i = running; i < items; i++) {
      // Texts of different lengths keep the runs from ending all at once.
      int events = EVENTS_PER_RUN;
      ItemState item = new ItemState(null, JobCoordinatorFixture.item("i" + nextItem++, events));
      int head = nextItem * 37 % EVENTS_PER_RUN;
      item.replaceText(RunText.fromDelta(JobCoordinatorFixture.events(0, head)), now);
      Optional<EngineLoad> engine = placer.chooseEngine(item, engines, e -> true, now);
      engine.ifPresent(e -> item.startRun(nextItem, new InstanceId("entry"), e, now));
    }
  }

  private void addEngine(IntToDoubleFunction intervalMillis) {
    EndpointAnnouncement announcement =
        new EndpointAnnouncement(
            new InstanceId("e" + engines.size()),
            new Incarnation("0"),
            new Zone("a"),
            new ServiceName("lm"),
            EndpointKind.ENGINE,
            EndpointPhase.SERVING,
            0,
            0,
            SLOTS,
            new WeightVersion(1),
            1);
    ServerEntry entry =
        new ServerEntry(announcement, "10.0.0.1", 80, Map.of(), new ServerEntry.WriteOrder(0, 0));
    EngineSpec spec = new EngineSpec(SLOTS, 1_000_000, 10, List.of("m"));
    engines.add(new EngineLoad(entry, spec, PlacementPolicy.DEFAULT.initialInterval()));
    intervals.add(intervalMillis);
  }
}
