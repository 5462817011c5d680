/**
 * The coordinator role, which places items on engines and keeps their weights current.
 *
 * <p>Changes of the lease, jobs and servers enter through {@code CoordinatorRole}; orders to
 * engines and runners leave. Start with {@code CoordinatorRole}, then {@code EngineWeightManager}.
 */
package org.carobhoist.server.gateway.coordination;
