package org.carobhoist.core.common;

import java.time.Duration;
import java.time.Instant;

/** The only source of time for decisions; tests pass one that they move by hand. */
public interface Clock {

  /** Returns the wall-clock time, which may be wrong by up to the platform's clock skew. */
  Instant now();

  /**
   * Returns the time since an arbitrary start, which never goes back and goes on while the process
   * or its machine is paused.
   */
  Duration elapsed();
}
