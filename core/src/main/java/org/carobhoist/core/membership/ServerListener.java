package org.carobhoist.core.membership;

import org.carobhoist.core.common.InstanceId;

/** Takes changes in the registry of servers. */
public interface ServerListener {

  /** A server has written its entry, for the first time or anew. */
  void onEntry(ServerEntry entry);

  /** A server has said of itself, in an answer, that it leaves. */
  void onSaidLeaving(InstanceId instance, long born);

  /** A server is gone: its entry was removed some time ago and hasn't come back. */
  void onGone(InstanceId instance);

  /** A record names no server that can be used. */
  void onUnreadable(String key, long offset, String why);
}
