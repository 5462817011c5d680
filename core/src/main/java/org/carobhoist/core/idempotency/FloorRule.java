package org.carobhoist.core.idempotency;

import java.time.Instant;

/** How the floor of a duplicate table moves when a key is forgotten. */
@FunctionalInterface
interface FloorRule {

  /** The rule that holds: the floor never lies below a key that was forgotten. */
  FloorRule NEWEST_FORGOTTEN = (floor, birth) -> birth.isAfter(floor) ? birth : floor;

  /** Returns the new floor. */
  Instant raise(Instant floor, Instant forgottenBirth);
}
