package org.carobhoist.core.membership;

import org.carobhoist.core.common.EndpointKind;
import org.carobhoist.core.common.Incarnation;
import org.carobhoist.core.common.InstanceId;
import org.carobhoist.core.common.ServiceName;
import org.carobhoist.core.common.WeightVersion;
import org.carobhoist.core.common.Zone;

/**
 * State of a sidecar and its endpoint, as announced by the sidecar.
 *
 * @param instance the endpoint's instance
 * @param incarnation identifies the run of the sidecar process
 * @param zone the availability zone
 * @param service the service that the endpoint serves
 * @param kind engine or plain service
 * @param phase whether the endpoint accepts new work
 * @param inFlight number of running requests
 * @param queued number of queued requests
 * @param limit concurrency limit
 * @param version weight version served; 0 for a plain service
 * @param sequence increases with each announcement of one incarnation
 */
public record EndpointAnnouncement(
    InstanceId instance,
    Incarnation incarnation,
    Zone zone,
    ServiceName service,
    EndpointKind kind,
    EndpointPhase phase,
    int inFlight,
    int queued,
    int limit,
    WeightVersion version,
    long sequence) {

  /** Returns this announcement with another phase. */
  public EndpointAnnouncement withPhase(EndpointPhase other) {
    return new EndpointAnnouncement(
        instance,
        incarnation,
        zone,
        service,
        kind,
        other,
        inFlight,
        queued,
        limit,
        version,
        sequence);
  }
}
