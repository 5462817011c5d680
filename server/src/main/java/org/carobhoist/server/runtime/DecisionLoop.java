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
 * The single thread on which a process takes its decisions. All state of {@code core} objects is
 * touched only here, so that they need no locks; I/O happens on other threads, which hand events
 * over.
 */
public final class DecisionLoop implements Executor, Scheduler, Service {

  private static final long STOP_TIMEOUT_SECONDS = 5;

  private final ScheduledExecutorService executor;

  private DecisionLoop(ScheduledExecutorService executor) {
    this.executor = executor;
  }

  /** Returns a loop whose thread has the given name. */
  public static DecisionLoop create(String name) {
    return new DecisionLoop(
        Executors.newSingleThreadScheduledExecutor(
            task -> {
              Thread t = new Thread(task, name);
              t.setDaemon(true);
              return t;
            }));
  }

  /** Returns a loop on a thread that also does the process's I/O. */
  public static DecisionLoop on(ScheduledExecutorService thread) {
    return new DecisionLoop(thread);
  }

  @Override
  public void execute(Runnable task) {
    try {
      executor.execute(() -> runLogged(task));
    } catch (RejectedExecutionException e) {
      // The loop has stopped; nobody waits for the event any more.
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

  /** Runs a task again and again, with the given time between end and start. */
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
