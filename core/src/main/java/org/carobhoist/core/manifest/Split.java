package org.carobhoist.core.manifest;

import org.carobhoist.core.common.ServiceName;

/**
 * One of the services that share a route.
 *
 * @param service the service
 * @param weight its part of the requests, relative to the others' weights; from 0
 */
public record Split(ServiceName service, int weight) {}
