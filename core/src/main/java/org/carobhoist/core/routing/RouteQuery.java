package org.carobhoist.core.routing;

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
 * @param affinity hash of the prompt's prefix, or 0 for none
 */
public record RouteQuery(ServiceName service, Zone zone, Set<InstanceId> excluded, long affinity) {}
