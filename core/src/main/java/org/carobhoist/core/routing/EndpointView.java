package org.carobhoist.core.routing;

import org.carobhoist.core.common.EndpointKind;
import org.carobhoist.core.common.InstanceId;
import org.carobhoist.core.common.ServiceName;
import org.carobhoist.core.common.WeightVersion;
import org.carobhoist.core.common.Zone;

/**
 * What an entry knows of one endpoint at the moment of a choice.
 *
 * @param instance the endpoint's instance
 * @param service the service that it serves
 * @param kind engine or plain service
 * @param zone its availability zone
 * @param usable whether it takes new work: linked, serving and not leaving
 * @param ownInFlight requests of this entry in flight there
 * @param reportedInFlight requests in flight there from all entries, as far as known
 * @param limit concurrency limit by its last announcement, at least 1
 * @param version weight version by its last announcement; 0 for a plain service
 */
public record EndpointView(
    InstanceId instance,
    ServiceName service,
    EndpointKind kind,
    Zone zone,
    boolean usable,
    int ownInFlight,
    int reportedInFlight,
    int limit,
    WeightVersion version) {

  /** Returns the load as a share of the limit; 1 is full. */
  public double load() {
    return (double) Math.max(ownInFlight, reportedInFlight) / Math.max(1, limit);
  }
}
