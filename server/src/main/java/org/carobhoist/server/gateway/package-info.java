/**
 * The gateway role, which keeps its durable state in the platform's store and calls engines and
 * services.
 */
package org.carobhoist.server.gateway;
