package org.carobhoist.core.membership;

import org.carobhoist.core.common.EndpointKind;
import org.carobhoist.core.common.Incarnation;
import org.carobhoist.core.common.InstanceId;
import org.carobhoist.core.common.ServiceName;
import org.carobhoist.core.common.WeightVersion;
import org.carobhoist.core.common.Zone;

/**
 * What a sidecar says of itself and of its endpoint.
 *
 * @param instance the endpoint's instance
 * @param incarnation the sidecar's run
 * @param zone the availability zone
 * @param service the service served
 * @param kind engine or plain service
 * @param phase whether new work is taken
 * @param inFlight requests running
 * @param queued requests waiting
 * @param limit concurrency limit
 * @param version weight version served; 0 for a plain service
 * @param sequence grows with each announcement of one incarnation
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
