package org.carobhoist.core.common;

import java.util.concurrent.CompletableFuture;
import java.util.function.BiConsumer;
import java.util.function.Supplier;

/**
 * Runs callbacks and steps that have no caller who could handle their exceptions. A future drops
 * what its callback throws, unless somebody waits for the future that the callback returns. These
 * exceptions go to the thread's uncaught exception handler instead, which logs them.
 */
public final class Callbacks {

  private Callbacks() {}

  /** Returns a callback of a future that reports what the given callback throws. */
  public static <T> BiConsumer<T, Throwable> reported(BiConsumer<T, Throwable> callback) {
    return (value, failure) -> runReported(() -> callback.accept(value, failure));
  }

  /** Starts an operation; its future fails if the operation can't be started. */
  public static <T> CompletableFuture<T> start(Supplier<CompletableFuture<T>> operation) {
    try {
      return operation.get();
    } catch (RuntimeException e) {
      return CompletableFuture.failedFuture(e);
    }
  }

  /**
   * Runs a step whose exceptions are reported, so that the steps after it run all the same.
   *
   * @return whether the step ended without an exception
   */
  public static boolean runReported(Runnable step) {
    try {
      step.run();
      return true;
    } catch (RuntimeException e) {
      Thread current = Thread.currentThread();
      current.getUncaughtExceptionHandler().uncaughtException(current, e);
      return false;
    }
  }
}
