package org.carobhoist.core.common;

import java.time.Duration;

/** Runs delayed tasks on the event loop thread that makes the decisions of the process. */
@FunctionalInterface
public interface Scheduler {

  /** Runs a task once after a delay; running the returned handle cancels it. */
  Runnable after(Duration delay, Runnable task);
}
