package org.carobhoist.core.membership;

import java.util.Map;
import org.carobhoist.core.common.WeightVersion;

/**
 * What a server says of itself in the platform's registry.
 *
 * @param announcement who it is and whether it takes work
 * @param host its address
 * @param port its port
 * @param versions the weight versions of its models; empty for a plain service
 * @param beat which of its writings this is
 */
public record ServerEntry(
    EndpointAnnouncement announcement,
    String host,
    int port,
    Map<String, WeightVersion> versions,
    Beat beat) {

  /**
   * Orders the writings of a server.
   *
   * @param born when the server started, in milliseconds of its own clock
   * @param sequence grows with each writing since then
   */
  public record Beat(long born, long sequence) {

    /** Returns whether this writing was made before another one. */
    public boolean isBefore(Beat other) {
      return born < other.born || (born == other.born && sequence < other.sequence);
    }
  }

  /** Copies the versions. */
  public ServerEntry {
    versions = Map.copyOf(versions);
  }

  /** Returns this entry as one of a server that leaves. */
  public ServerEntry leaving() {
    return new ServerEntry(
        announcement.withPhase(EndpointPhase.DRAINING), host, port, versions, beat);
  }

  /** Returns host and port. */
  public String address() {
    return host + ":" + port;
  }
}
