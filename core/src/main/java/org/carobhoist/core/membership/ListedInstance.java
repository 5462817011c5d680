package org.carobhoist.core.membership;

import org.carobhoist.core.common.InstanceId;
import org.carobhoist.core.common.Zone;

/**
 * An element of the platform's instance list.
 *
 * @param instance the instance
 * @param role {@code entry} or {@code sidecar}
 * @param zone its availability zone
 * @param host IP address on which it accepts links
 * @param port port on which it accepts links
 * @param leaving whether the platform is about to remove it
 * @param service the service served by the sidecar's endpoint; empty for an entry or if the list
 *     doesn't name it
 */
public record ListedInstance(
    InstanceId instance,
    String role,
    Zone zone,
    String host,
    int port,
    boolean leaving,
    String service) {

  /** Creates an instance without a service. */
  public ListedInstance(
      InstanceId instance, String role, Zone zone, String host, int port, boolean leaving) {
    this(instance, role, zone, host, port, leaving, "");
  }
}
