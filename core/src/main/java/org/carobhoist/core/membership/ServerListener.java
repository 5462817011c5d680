package org.carobhoist.core.membership;

import org.carobhoist.core.common.InstanceId;

/** Receives changes in the registry of servers. */
public interface ServerListener {

  /** Called when the entry of a server has been added or updated. */
  void onEntry(ServerEntry entry);

  /** Called when a server has reported in a response that it is leaving. */
  void onLeavingReported(InstanceId instance, long startedAtMillis);

  /** Called when a server is removed because its entry disappeared and did not reappear in time. */
  void onGone(InstanceId instance);

  /**
   * Called when an entry of a removed server is ignored because it was written before one that had
   * been read.
   */
  void onOutdated(ServerEntry entry);

  /** Called when a record doesn't describe a usable server. */
  void onUnreadable(String key, long offset, String why);
}
