package org.carobhoist.core.idempotency;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.stream.IntStream;
import org.carobhoist.core.common.Incarnation;
import org.carobhoist.core.common.InstanceId;
import org.carobhoist.core.testing.EventQueue;
import org.carobhoist.core.testing.ManualClock;
import org.junit.jupiter.api.Test;

final class HomeViewRegistrarTest {

  private static final Duration TICK = Duration.ofMillis(100);
  private static final Duration LOG_DELAY = Duration.ofMillis(50);

  private final ManualClock clock = new ManualClock();
  private final EventQueue events = new EventQueue(clock);
  private final List<Sidecar> sidecars = new ArrayList<>();
  private int appends;

  @Test
  void simultaneousStartsConvergeWithFewAppends() {
    int count = 40;
    IntStream.range(0, count).forEach(i -> sidecars.add(new Sidecar(i)));
    events.run(Duration.ofMinutes(2));
    for (Sidecar s : sidecars) {
      assertThat(s.history.current().orElseThrow().members()).hasSize(count);
    }
    assertThat(appends).isAtMost(4 * count);
  }

  @Test
  void removesLeavingSidecarFromView() {
    IntStream.range(0, 3).forEach(i -> sidecars.add(new Sidecar(i)));
    events.run(Duration.ofSeconds(30));
    sidecars.get(0).registrar.leave();
    events.run(Duration.ofSeconds(60));
    HomeView view = sidecars.get(1).history.current().orElseThrow();
    assertThat(view.contains(sidecars.get(0).self)).isFalse();
    assertThat(view.members()).hasSize(2);
  }

  @Test
  void renewsViewBeforeItsRetentionExpires() {
    sidecars.add(new Sidecar(0));
    events.run(Duration.ofSeconds(30));
    int before = appends;
    events.run(HomeViewRegistrar.RENEWAL_AGE.plusMinutes(1));
    assertThat(appends).isEqualTo(before + 1);
  }

  @Test
  void distributesKeysEvenlyAndMovesOnlyThoseOfLeavingMember() {
    List<HomeMember> members =
        IntStream.range(0, 5).mapToObj(HomeViewRegistrarTest::member).toList();
    HomeView all = new HomeView(1, clock.now(), members);
    HomeView remaining = new HomeView(2, clock.now(), members.subList(1, 5));
    Map<HomeMember, Integer> counts = new HashMap<>();
    Random random = new Random(5);
    for (int i = 0; i < 5_000; i++) {
      IdempotencyKey key = IdempotencyKey.mint(clock.now(), random);
      HomeMember home = HomeSelector.homeOf(all, key).orElseThrow();
      counts.merge(home, 1, Integer::sum);
      if (!home.equals(members.get(0))) {
        assertThat(HomeSelector.homeOf(remaining, key).orElseThrow()).isEqualTo(home);
      }
    }
    counts
        .values()
        .forEach(n -> assertThat(n).isIn(com.google.common.collect.Range.closed(850, 1150)));
  }

  private static HomeMember member(int i) {
    return new HomeMember(new InstanceId("s-" + i), new Incarnation("run-" + i));
  }

  private final class Sidecar implements HomeViewAppender {

    private final HomeMember self;
    private final HomeHistory history = HomeHistory.create();
    private final HomeLease lease = HomeLease.create(HomePolicy.DEFAULT, clock);
    private final HomeViewRegistrar registrar;

    private Sidecar(int i) {
      self = member(i);
      registrar = HomeViewRegistrar.create(self, this, clock, new Random(i), lease, history);
      tick();
    }

    private void tick() {
      lease.onReadSent();
      lease.onCaughtUp();
      registrar.tick();
      events.after(TICK, this::tick);
    }

    @Override
    public void append(List<HomeMember> members) {
      HomeView view = new HomeView(++appends, clock.now(), members);
      for (Sidecar s : sidecars) {
        events.after(LOG_DELAY, () -> s.history.add(view));
      }
    }
  }
}
