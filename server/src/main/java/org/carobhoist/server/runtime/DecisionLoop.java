package org.carobhoist.server.runtime;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.Executors;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.carobhoist.core.common.Scheduler;
import org.carobhoist.server.log.EventLog;
import org.carobhoist.server.log.LogEvent;

/**
 * The single thread on which a process makes its decisions. The state of {@code core} objects is
 * accessed only on this thread, so they need no locks. I/O threads submit their events to it.
 */
public final class DecisionLoop implements Executor, Scheduler, Service {

  private static final long STOP_TIMEOUT_SECONDS = 5;

  private final ScheduledExecutorService executor;

  private DecisionLoop(ScheduledExecutorService executor) {
    this.executor = executor;
  }

  /** Creates a loop with its own thread of the given name. */
  public static DecisionLoop create(String name) {
    return new DecisionLoop(
        Executors.newSingleThreadScheduledExecutor(
            task -> {
              Thread t = new Thread(task, name);
              t.setDaemon(true);
              return t;
            }));
  }

  /** Creates a loop on an existing thread, which also performs the I/O of the process. */
  public static DecisionLoop on(ScheduledExecutorService thread) {
    return new DecisionLoop(thread);
  }

  @Override
  public void execute(Runnable task) {
    try {
      executor.execute(() -> runLogged(task));
    } catch (RejectedExecutionException e) {
      // The loop has stopped, so the event has no recipient and is dropped.
    }
  }

  /** Runs a task on the loop and returns its result. */
  public <T> CompletableFuture<T> call(Supplier<T> task) {
    return CompletableFuture.supplyAsync(task, this);
  }

  @Override
  public Runnable after(Duration delay, Runnable task) {
    try {
      var future = executor.schedule(() -> runLogged(task), delay.toNanos(), TimeUnit.NANOSECONDS);
      return () -> future.cancel(false);
    } catch (RejectedExecutionException e) {
      return () -> {};
    }
  }

  /** Runs a task repeatedly, with the given delay between the end of a run and the next start. */
  public void every(Duration period, Runnable task) {
    long nanos = period.toNanos();
    executor.scheduleWithFixedDelay(() -> runLogged(task), nanos, nanos, TimeUnit.NANOSECONDS);
  }

  @Override
  public CompletableFuture<Void> start() {
    return CompletableFuture.completedFuture(null);
  }

  @Override
  public CompletableFuture<Void> stop() {
    executor.shutdownNow();
    return CompletableFuture.runAsync(this::awaitEnd);
  }

  private void awaitEnd() {
    try {
      executor.awaitTermination(STOP_TIMEOUT_SECONDS, TimeUnit.SECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private static void runLogged(Runnable task) {
    try {
      task.run();
    } catch (RuntimeException e) {
      EventLog.error(LogEvent.DECISION_FAILED, e);
    }
  }
}
