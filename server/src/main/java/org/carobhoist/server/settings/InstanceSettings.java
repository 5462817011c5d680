package org.carobhoist.server.settings;

import java.net.URI;
import org.carobhoist.core.common.InstanceId;
import org.carobhoist.core.common.Zone;
import org.carobhoist.core.settings.SocketAddressText;

/**
 * Settings common to all roles.
 *
 * @param id the instance
 * @param zone its availability zone
 * @param http address of the HTTP server for callers, health, metrics and state
 * @param link address on which links are accepted
 * @param platform base URL of the platform
 * @param logLevel minimum severity of logged events
 */
public record InstanceSettings(
    InstanceId id,
    Zone zone,
    SocketAddressText http,
    SocketAddressText link,
    URI platform,
    LogLevel logLevel) {}
