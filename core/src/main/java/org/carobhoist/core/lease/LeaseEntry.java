package org.carobhoist.core.lease;

import java.time.Duration;
import java.util.Optional;
import org.carobhoist.core.common.Incarnation;
import org.carobhoist.core.common.InstanceId;

/**
 * A record in the lease's shard of the store.
 *
 * @param holder the instance that wrote it
 * @param incarnation incarnation of the holder; a restarted instance no longer holds the lease
 * @param term the term that the record renews; 0 in the record that starts a term
 * @param released whether the holder releases the lease with this record
 * @param heir the instance that should acquire the lease next, if the holder named one
 * @param ordersSettled whether, in a record that releases the lease, no order of this holder or of
 *     one before it can still arrive at a server
 * @param heldFor how long the holder had held the lease when it wrote the record; zero if unknown
 */
public record LeaseEntry(
    InstanceId holder,
    Incarnation incarnation,
    long term,
    boolean released,
    Optional<InstanceId> heir,
    boolean ordersSettled,
    Duration heldFor) {

  /** Returns a record that starts a term, or renews one. */
  static LeaseEntry held(InstanceId holder, Incarnation incarnation, long term, Duration heldFor) {
    return new LeaseEntry(holder, incarnation, term, false, Optional.empty(), false, heldFor);
  }
}
