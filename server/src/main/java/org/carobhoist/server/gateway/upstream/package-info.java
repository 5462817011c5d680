/**
 * Connections to servers, and the matching of responses with their requests.
 *
 * <p>Requests to servers enter through {@code UpstreamClients}; only responses that belong to them
 * leave. Start with {@code UpstreamClients}, then {@code ResponseMatchingHandler}.
 */
package org.carobhoist.server.gateway.upstream;
