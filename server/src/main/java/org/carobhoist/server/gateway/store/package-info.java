/**
 * Access to the platform's store: its topics, failover through peers, and listeners of its records.
 *
 * <p>Calls enter through {@code FailoverStoreTransport}; records of operators and servers leave to
 * the manifest and the directory. Start with {@code Topics}.
 */
package org.carobhoist.server.gateway.store;
