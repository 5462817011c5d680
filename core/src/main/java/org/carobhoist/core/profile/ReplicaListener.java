package org.carobhoist.core.profile;

/** Hears what a {@link ConfigReplica} makes of the log's records. */
public interface ReplicaListener {

  /** A change was applied or found void. */
  void onChange(long offset, ProfileChange change, FoldOutcome outcome);

  /** A record of another part is new; its offset is the one of its first place in the log. */
  void onForeign(LogItem item, ForeignRecord record);

  /** A record was skipped. */
  void onSkipped(long offset, String reason);

  /** The whole state was replaced by a snapshot. */
  void onInstalled(ProfileSnapshot snapshot);
}
