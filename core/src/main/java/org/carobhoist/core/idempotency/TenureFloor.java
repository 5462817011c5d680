package org.carobhoist.core.idempotency;

import java.time.Instant;

/** Up to which creation time keys may have run at an earlier home. */
@FunctionalInterface
interface TenureFloor {

  /** Returns the floor of a tenure that began with a record of the given time. */
  Instant of(Instant tenureStart);
}
