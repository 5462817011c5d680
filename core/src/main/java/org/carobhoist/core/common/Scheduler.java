package org.carobhoist.core.common;

import java.time.Duration;

/** Runs tasks later, on the thread that takes the process's decisions. */
@FunctionalInterface
public interface Scheduler {

  /** Runs a task once after a delay; the returned handle cancels it. */
  Runnable after(Duration delay, Runnable task);
}
