package org.carobhoist.core.request;

import java.time.Duration;
import org.carobhoist.core.testing.EventQueue;
import org.carobhoist.core.testing.ManualClock;

/** A simulated process: drops its events while it is down and defers them while it is paused. */
class SimulatedProcess {

  final ManualClock time;
  final EventQueue events;
  boolean up = true;
  int epoch;
  Duration pausedUntil = Duration.ZERO;
  Duration logUnreachableUntil = Duration.ZERO;

  SimulatedProcess(ManualClock time, EventQueue events) {
    this.time = time;
    this.events = events;
  }

  /** Runs a task here after a delay, unless the process has crashed by then. */
  final void post(Duration delay, Runnable task) {
    int expectedEpoch = epoch;
    events.after(delay, () -> deliver(expectedEpoch, task));
  }

  /** Runs a task now or after the pause; drops it if that incarnation has ended. */
  final void deliver(int expectedEpoch, Runnable task) {
    if (!up || expectedEpoch != epoch) {
      return;
    }
    Duration now = time.elapsed();
    if (now.compareTo(pausedUntil) < 0) {
      events.after(pausedUntil.minus(now), () -> deliver(expectedEpoch, task));
      return;
    }
    task.run();
  }
}
