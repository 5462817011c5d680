package org.carobhoist.core.manifest;

import org.carobhoist.core.common.ServiceName;

/**
 * One of the services that a route's requests are split over.
 *
 * @param service the service
 * @param weight its share of the requests, relative to the other weights; 0 or more
 */
public record Split(ServiceName service, int weight) {}
