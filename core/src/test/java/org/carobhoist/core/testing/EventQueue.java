package org.carobhoist.core.testing;

import java.time.Duration;
import java.util.Comparator;
import java.util.PriorityQueue;

/** Runs tasks in order of their times on a {@link ManualClock}; ties run in order of insertion. */
public final class EventQueue {

  private final ManualClock clock;
  private final PriorityQueue<Task> tasks =
      new PriorityQueue<>(Comparator.comparing(Task::at).thenComparing(Task::order));
  private long nextOrder;

  private record Task(Duration at, long order, Runnable body) {}

  /** Creates an empty queue that advances the given clock. */
  public EventQueue(ManualClock clock) {
    this.clock = clock;
  }

  /** Adds a task that runs after a delay. */
  public void after(Duration delay, Runnable body) {
    tasks.add(new Task(clock.elapsed().plus(delay), nextOrder++, body));
  }

  /** Adds a task that runs after a delay; running the returned handle cancels it. */
  public Runnable schedule(Duration delay, Runnable body) {
    boolean[] cancelled = {false};
    after(
        delay,
        () -> {
          if (!cancelled[0]) {
            body.run();
          }
        });
    return () -> cancelled[0] = true;
  }

  /** Runs all tasks up to a time on the elapsed clock; returns the number of tasks that ran. */
  public int run(Duration limit) {
    int ran = 0;
    while (!tasks.isEmpty() && tasks.peek().at().compareTo(limit) <= 0) {
      Task task = tasks.poll();
      clock.advance(task.at().minus(clock.elapsed()));
      task.body().run();
      ran++;
    }
    return ran;
  }
}
