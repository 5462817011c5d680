package org.carobhoist.core.routing;

import org.carobhoist.core.common.EndpointKind;
import org.carobhoist.core.common.InstanceId;
import org.carobhoist.core.common.ServiceName;
import org.carobhoist.core.common.WeightVersion;
import org.carobhoist.core.common.Zone;

/**
 * Snapshot of what an instance knows about one endpoint when it selects one.
 *
 * @param instance instance of the endpoint
 * @param service service that it provides
 * @param kind engine or plain service
 * @param zone its availability zone
 * @param usable whether it accepts new requests: linked, serving and not draining
 * @param ownInFlight requests from this instance that are in flight there
 * @param reportedInFlight requests from all instances that are in flight there, as far as known
 * @param limit concurrency limit from its last announcement, at least 1
 * @param version weight version from its last announcement; 0 for a plain service
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

  /** Returns the load as a fraction of the limit; 1 means full. */
  public double load() {
    return (double) Math.max(ownInFlight, reportedInFlight) / Math.max(1, limit);
  }
}
