package org.carobhoist.core.profile;

/** Receives the effects of log records on a {@link ConfigReplica}. */
public interface ReplicaListener {

  /** Called when a change has been accepted or rejected. */
  void onChange(long offset, ProfileChange change, FoldOutcome outcome);

  /** Called when a record of another subsystem takes effect; the item has its original offset. */
  void onOpaqueRecord(LogItem item, OpaqueRecord record);

  /** Called when an unreadable record has been skipped. */
  void onSkipped(long offset, String reason);

  /** Called when a snapshot has replaced the whole state. */
  void onInstalled(ProfileSnapshot snapshot);
}
