package org.carobhoist.core.routing;

import java.util.List;
import java.util.Set;
import org.carobhoist.core.common.InstanceId;
import org.carobhoist.core.common.ServiceName;
import org.carobhoist.core.common.Zone;

/**
 * Criteria for the selection of an endpoint.
 *
 * @param service service that handles the request
 * @param zone availability zone of the instance that routes the request
 * @param excluded endpoints at which this request has already failed
 * @param prefix leading blocks of the prompt; {@link PromptPrefix#NONE} for no affinity
 */
public record RouteQuery(
    ServiceName service, Zone zone, Set<InstanceId> excluded, PromptPrefix prefix) {

  /** Creates a query with a single hash for affinity; 0 for no affinity. */
  public RouteQuery(ServiceName service, Zone zone, Set<InstanceId> excluded, long affinity) {
    this(
        service,
        zone,
        excluded,
        affinity == 0 ? PromptPrefix.NONE : new PromptPrefix(List.of(affinity)));
  }
}
