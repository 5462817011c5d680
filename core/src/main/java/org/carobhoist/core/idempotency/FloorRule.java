package org.carobhoist.core.idempotency;

import java.time.Instant;

/** Computes the floor of a duplicate table after a key has been evicted. */
@FunctionalInterface
interface FloorRule {

  /** The rule used in production: the floor is never below the creation time of an evicted key. */
  FloorRule NEWEST_EVICTED = (floor, evicted) -> evicted.isAfter(floor) ? evicted : floor;

  /** Returns the new floor. */
  Instant raise(Instant floor, Instant evictedCreationTime);
}
