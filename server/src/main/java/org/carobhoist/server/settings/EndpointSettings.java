package org.carobhoist.server.settings;

import java.net.URI;
import org.carobhoist.core.common.EndpointKind;
import org.carobhoist.core.common.ServiceName;

/**
 * The endpoint settings of a sidecar.
 *
 * @param service the service that the endpoint serves
 * @param kind model engine or plain service
 * @param url its base URL
 */
public record EndpointSettings(ServiceName service, EndpointKind kind, URI url) {}
