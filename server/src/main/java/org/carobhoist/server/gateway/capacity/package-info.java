/** Measurement of requests and exchange of measured capacities between gateways. */
package org.carobhoist.server.gateway.capacity;
