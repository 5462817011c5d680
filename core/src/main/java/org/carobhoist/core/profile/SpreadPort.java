package org.carobhoist.core.profile;

import java.time.Duration;
import org.carobhoist.core.common.InstanceId;

/** What a {@link SpreadCoordinator} can do. */
public interface SpreadPort {

  /** Reads the log; the answer comes through {@code onLogRead} or {@code onLogFailed}. */
  void readLog(long from, Duration wait);

  /** Tells a peer up to where this process has applied the log. */
  void sendDigest(InstanceId peer, long nextOffset);

  /** Sends a peer what it lacks. */
  void sendUpdate(InstanceId peer, PeerUpdate update);

  /** Appends a snapshot record; nobody waits for the answer. */
  void appendSnapshot(ProfileSnapshot snapshot);

  /** Runs a task once after a delay. */
  void after(Duration delay, Runnable task);

  /** The process may serve from now on. */
  void onServing(Source source);

  /** Two peers, or a peer and this process, hold states that can't belong to one log. */
  void onDisagreement(InstanceId peer);

  /** From where the configuration came with which a process begins to serve. */
  enum Source {
    /** The log itself. */
    LOG,
    /** Snapshots of more than one peer, since the log can't be read. */
    PEERS
  }
}
