package org.carobhoist.core.profile;

/**
 * The checks that prevent a replica from moving backwards or diverging from other replicas.
 * Production code uses {@link #STRICT}; tests disable individual checks to verify that the test
 * suite detects their absence.
 */
interface ReplicaRules {

  /** All checks enabled. */
  ReplicaRules STRICT = new ReplicaRules() {};

  /** Returns whether a change is based on the current revision of its profile. */
  default boolean buildsOn(ProfileChange change, Revision current) {
    return change.base().equals(current);
  }

  /** Returns whether the record at an offset has not been applied yet. */
  default boolean isNew(long offset, long applied) {
    return offset > applied;
  }

  /** Returns whether a snapshot may replace the current state. */
  default boolean replaces(ProfileSnapshot snapshot, ProfileSnapshot present) {
    return snapshot.through() > present.through() && snapshot.isSuccessorOf(present);
  }

  /** Returns whether a peer's records continue the current state without a gap. */
  default boolean isContiguous(PeerUpdate update, long applied) {
    return update.first() <= applied + 1;
  }

  /** Returns whether enough peers, including the sender, confirm a snapshot. */
  default boolean isConfirmed(int confirmations) {
    return confirmations >= 2;
  }
}
