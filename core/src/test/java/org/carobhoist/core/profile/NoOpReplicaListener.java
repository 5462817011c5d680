package org.carobhoist.core.profile;

/** Ignores all events; tests override the methods that they need. */
class NoOpReplicaListener implements ReplicaListener {

  static final NoOpReplicaListener INSTANCE = new NoOpReplicaListener();

  @Override
  public void onChange(long offset, ProfileChange change, FoldOutcome outcome) {}

  @Override
  public void onOpaqueRecord(LogItem item, OpaqueRecord record) {}

  @Override
  public void onSkipped(long offset, String reason) {}

  @Override
  public void onInstalled(ProfileSnapshot snapshot) {}
}
