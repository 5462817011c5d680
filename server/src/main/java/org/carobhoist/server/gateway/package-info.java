/**
 * The gateway role, which keeps its durable state in the platform's store and calls engines and
 * services.
 *
 * <p>{@code GatewayService} wires the packages below this one. Read {@code ingress} first for what
 * happens to a request, {@code job} and {@code coordination} for what happens to a job.
 */
package org.carobhoist.server.gateway;
