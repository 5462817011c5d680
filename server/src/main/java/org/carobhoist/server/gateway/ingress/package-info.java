/**
 * The requests of clients: their checks, their routes, and forwarding with retries.
 *
 * <p>Requests enter from the HTTP server; calls to servers leave through {@code upstream}, job
 * requests through {@code job}. Start with {@code IngressRoutes}, then {@code ForwardedCall}.
 */
package org.carobhoist.server.gateway.ingress;
