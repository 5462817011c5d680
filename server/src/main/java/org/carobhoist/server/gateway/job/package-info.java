/**
 * Jobs of clients: acceptance, runs of their items, and publication of results.
 *
 * <p>Client requests enter through {@code JobRequestHandler}, orders of the coordinator through
 * {@code ItemRunner}; records leave to the store. Start with {@code JobRequestHandler}.
 */
package org.carobhoist.server.gateway.job;
