package org.carobhoist.core.idempotency;

import java.time.Instant;

/** Computes the creation time up to which keys may have run at an earlier home. */
@FunctionalInterface
interface TenureFloor {

  /** Returns the floor of a tenure that began with a log record appended at the given time. */
  Instant of(Instant tenureStart);
}
