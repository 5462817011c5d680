package org.carobhoist.server.settings;

import org.carobhoist.core.limit.LimitPolicy;

/**
 * Settings of a sidecar.
 *
 * @param instance settings common to all roles
 * @param endpoint the sidecar's endpoint
 * @param limits admission limits
 */
public record SidecarSettings(
    InstanceSettings instance, EndpointSettings endpoint, LimitPolicy limits) {}
