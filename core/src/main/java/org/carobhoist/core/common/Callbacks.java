package org.carobhoist.core.common;

import java.util.concurrent.CompletionStage;
import java.util.function.BiConsumer;

/**
 * Runs callbacks and steps that have no caller who could handle their exceptions. A future drops
 * what its callback throws, unless somebody waits for the future that the callback returns. These
 * exceptions go to the thread's uncaught exception handler instead, which logs them.
 */
public final class Callbacks {

  private Callbacks() {}

  /** Runs a callback with the outcome of a future; exceptions of the callback are reported. */
  public static <T> void whenDone(
      CompletionStage<T> future, BiConsumer<? super T, ? super Throwable> callback) {
    future.whenComplete((value, failure) -> runReported(() -> callback.accept(value, failure)));
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
