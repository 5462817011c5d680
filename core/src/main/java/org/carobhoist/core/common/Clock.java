package org.carobhoist.core.common;

import java.time.Duration;
import java.time.Instant;

/** The only source of time for decisions, so that tests can substitute a manual clock. */
public interface Clock {

  /** Returns the wall-clock time, which may be off by up to the clock skew of the platform. */
  Instant now();

  /**
   * Returns the time since an arbitrary origin. It is monotonic and keeps advancing while the
   * process or its machine is paused.
   */
  Duration elapsed();
}
