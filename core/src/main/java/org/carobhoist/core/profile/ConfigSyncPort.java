package org.carobhoist.core.profile;

import java.time.Duration;
import org.carobhoist.core.common.InstanceId;

/** Operations that a {@link ConfigSyncCoordinator} requests from its process. */
public interface ConfigSyncPort {

  /** Reads the log; the result is passed to {@code onLogRead} or {@code onLogFailed}. */
  void readLog(long from, Duration wait);

  /** Sends a peer the offset that follows the last one applied by this process. */
  void sendDigest(InstanceId peer, long nextOffset);

  /** Sends a peer the records or the snapshot that it lacks. */
  void sendUpdate(InstanceId peer, PeerUpdate update);

  /** Appends a snapshot record without waiting for the result. */
  void appendSnapshot(ProfileSnapshot snapshot);

  /** Runs a task once after a delay. */
  void after(Duration delay, Runnable task);

  /** Called once, when the process has a configuration with which it may serve. */
  void onServing(Source source);

  /** Called when a newer snapshot of a peer can't be a successor of this process's state. */
  void onDivergence(InstanceId peer);

  /** Source of the configuration with which a process starts to serve. */
  enum Source {
    /** The log itself. */
    LOG,
    /** Consistent snapshots of at least two peers, because the log can't be read. */
    PEERS
  }
}
