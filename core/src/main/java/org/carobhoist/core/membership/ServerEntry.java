package org.carobhoist.core.membership;

import java.util.Map;
import org.carobhoist.core.common.WeightVersion;

/**
 * Entry that a server writes about itself into the platform's registry.
 *
 * @param announcement the server's identity and state
 * @param host its host address
 * @param port its port
 * @param versions the weight versions of its models; empty for a plain service
 * @param writeOrder orders this entry among all entries written by the server
 */
public record ServerEntry(
    EndpointAnnouncement announcement,
    String host,
    int port,
    Map<String, WeightVersion> versions,
    WriteOrder writeOrder) {

  /**
   * Orders the entries written by one server.
   *
   * @param startedAtMillis when the server started, in milliseconds of its own clock
   * @param sequence increases with each entry written since the start
   */
  public record WriteOrder(long startedAtMillis, long sequence) {

    /** Returns whether this entry was written before the other one. */
    public boolean isBefore(WriteOrder other) {
      return startedAtMillis < other.startedAtMillis
          || (startedAtMillis == other.startedAtMillis && sequence < other.sequence);
    }
  }

  /** Makes an immutable copy of the versions. */
  public ServerEntry {
    versions = Map.copyOf(versions);
  }

  /** Returns a copy of this entry that marks the server as leaving. */
  public ServerEntry leaving() {
    return new ServerEntry(
        announcement.withPhase(EndpointPhase.DRAINING), host, port, versions, writeOrder);
  }

  /** Returns the address in the form {@code host:port}. */
  public String address() {
    return host + ":" + port;
  }
}
