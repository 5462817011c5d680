package org.carobhoist.core.routing;

import java.util.List;
import java.util.Set;
import org.carobhoist.core.common.InstanceId;
import org.carobhoist.core.common.ServiceName;
import org.carobhoist.core.common.Zone;

/**
 * What a choice of endpoint is asked for.
 *
 * @param service the service wanted
 * @param zone the availability zone of the asking entry
 * @param excluded endpoints that this request has tried in vain
 * @param prefix the prompt's leading blocks; {@link PromptPrefix#NONE} for no affinity
 */
public record RouteQuery(
    ServiceName service, Zone zone, Set<InstanceId> excluded, PromptPrefix prefix) {

  /** Creates a query with a single hash as affinity, or 0 for none. */
  public RouteQuery(ServiceName service, Zone zone, Set<InstanceId> excluded, long affinity) {
    this(
        service,
        zone,
        excluded,
        affinity == 0 ? PromptPrefix.NONE : new PromptPrefix(List.of(affinity)));
  }
}
