package org.carobhoist.core.membership;

import org.carobhoist.core.common.InstanceId;
import org.carobhoist.core.common.Zone;

/**
 * One line of the platform's instance list.
 *
 * @param instance the instance
 * @param role {@code entry} or {@code sidecar}
 * @param zone its availability zone
 * @param host IP number of its link port
 * @param port its link port
 * @param leaving whether the platform is about to take it away
 * @param service the service that the endpoint beside it serves; empty for an entry or if the list
 *     doesn't say
 */
public record ListedInstance(
    InstanceId instance,
    String role,
    Zone zone,
    String host,
    int port,
    boolean leaving,
    String service) {

  /** Creates a line that names no service. */
  public ListedInstance(
      InstanceId instance, String role, Zone zone, String host, int port, boolean leaving) {
    this(instance, role, zone, host, port, leaving, "");
  }
}
