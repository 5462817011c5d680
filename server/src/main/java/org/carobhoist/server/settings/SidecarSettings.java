package org.carobhoist.server.settings;

import org.carobhoist.core.limit.LimitPolicy;

/**
 * Settings of a sidecar.
 *
 * @param instance what every role has
 * @param endpoint the endpoint beside it
 * @param limits bounds of admission
 */
public record SidecarSettings(
    InstanceSettings instance, EndpointSettings endpoint, LimitPolicy limits) {}
