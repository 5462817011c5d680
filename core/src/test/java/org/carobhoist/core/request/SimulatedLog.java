package org.carobhoist.core.request;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.carobhoist.core.idempotency.HomeMember;
import org.carobhoist.core.idempotency.HomeView;
import org.carobhoist.core.testing.EventQueue;
import org.carobhoist.core.testing.ManualClock;

/** The simulated platform log, which holds the home views of one service only. */
final class SimulatedLog {

  private static final Duration LATENCY = Duration.ofMillis(20);
  private static final Duration RETRY_DELAY = Duration.ofMillis(500);

  private final ManualClock time;
  private final EventQueue events;
  private final List<HomeView> views = new ArrayList<>();
  Duration downUntil = Duration.ZERO;

  SimulatedLog(ManualClock time, EventQueue events) {
    this.time = time;
    this.events = events;
  }

  void append(SimulatedProcess from, List<HomeMember> members) {
    events.after(
        LATENCY,
        () -> {
          if (reachable(from)) {
            views.add(new HomeView(views.size() + 1, time.now(), members));
          }
        });
  }

  /** Appends the newest view without one member, from outside the simulated processes. */
  void evict(HomeMember member) {
    HomeView last = views.get(views.size() - 1);
    views.add(new HomeView(views.size() + 1, time.now(), last.membersWithout(member)));
  }

  /** Reads all views from an index on; the result or a failure is delivered later. */
  void read(SimulatedProcess reader, int from, Consumer<List<HomeView>> onRead, Runnable onFailed) {
    int expectedEpoch = reader.epoch;
    events.after(
        LATENCY,
        () -> {
          if (!reachable(reader)) {
            events.after(RETRY_DELAY, () -> reader.deliver(expectedEpoch, onFailed));
            return;
          }
          List<HomeView> found = List.copyOf(views.subList(from, views.size()));
          events.after(LATENCY, () -> reader.deliver(expectedEpoch, () -> onRead.accept(found)));
        });
  }

  private boolean reachable(SimulatedProcess node) {
    Duration now = time.elapsed();
    return now.compareTo(downUntil) >= 0 && now.compareTo(node.logUnreachableUntil) >= 0;
  }
}
