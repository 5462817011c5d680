package org.carobhoist.core.profile;

/** Hears nothing; tests override what they care for. */
class SilentListener implements ReplicaListener {

  static final SilentListener INSTANCE = new SilentListener();

  @Override
  public void onChange(long offset, ProfileChange change, FoldOutcome outcome) {}

  @Override
  public void onForeign(LogItem item, ForeignRecord record) {}

  @Override
  public void onSkipped(long offset, String reason) {}

  @Override
  public void onInstalled(ProfileSnapshot snapshot) {}
}
