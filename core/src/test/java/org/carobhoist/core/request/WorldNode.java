package org.carobhoist.core.request;

import java.time.Duration;
import org.carobhoist.core.testing.EventQueue;
import org.carobhoist.core.testing.ManualClock;

/** A simulated process: drops its events while it is down and defers them while it is paused. */
class WorldNode {

  final ManualClock time;
  final EventQueue events;
  boolean up = true;
  int epoch;
  Duration pausedUntil = Duration.ZERO;
  Duration logCutUntil = Duration.ZERO;

  WorldNode(ManualClock time, EventQueue events) {
    this.time = time;
    this.events = events;
  }

  /** Runs a task here after a delay, unless the process has crashed by then. */
  final void post(Duration delay, Runnable task) {
    int sentTo = epoch;
    events.after(delay, () -> deliver(sentTo, task));
  }

  /** Runs a task now or after the pause; drops it if that incarnation has ended. */
  final void deliver(int run, Runnable task) {
    if (!up || run != epoch) {
      return;
    }
    Duration now = time.elapsed();
    if (now.compareTo(pausedUntil) < 0) {
      events.after(pausedUntil.minus(now), () -> deliver(run, task));
      return;
    }
    task.run();
  }
}
