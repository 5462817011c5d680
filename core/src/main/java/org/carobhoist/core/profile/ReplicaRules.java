package org.carobhoist.core.profile;

/**
 * The checks that keep a replica from going back or apart from the others. Production code uses
 * {@link #STRICT}; tests replace single checks to show that their loss is noticed.
 */
interface ReplicaRules {

  /** Every check. */
  ReplicaRules STRICT = new ReplicaRules() {};

  /** Returns whether a change may replace a profile's current revision. */
  default boolean buildsOn(ProfileChange change, Revision current) {
    return change.base().equals(current);
  }

  /** Returns whether a record at an offset is newer than everything applied. */
  default boolean isNew(long offset, long applied) {
    return offset > applied;
  }

  /** Returns whether a snapshot may replace the present state. */
  default boolean replaces(ProfileSnapshot snapshot, ProfileSnapshot present) {
    return snapshot.through() > present.through() && snapshot.isSuccessorOf(present);
  }

  /** Returns whether a peer's records join the present state without a gap. */
  default boolean joins(PeerUpdate update, long applied) {
    return update.first() <= applied + 1;
  }

  /** Returns whether enough peers vouch for a snapshot, the one that sent it included. */
  default boolean isVouched(int peers) {
    return peers >= 2;
  }
}
