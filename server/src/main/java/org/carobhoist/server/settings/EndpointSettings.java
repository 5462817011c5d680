package org.carobhoist.server.settings;

import java.net.URI;
import org.carobhoist.core.common.EndpointKind;
import org.carobhoist.core.common.ServiceName;

/**
 * A sidecar's settings of its endpoint.
 *
 * @param service the service that the endpoint serves
 * @param kind engine or plain service
 * @param url its base URL
 */
public record EndpointSettings(ServiceName service, EndpointKind kind, URI url) {}
