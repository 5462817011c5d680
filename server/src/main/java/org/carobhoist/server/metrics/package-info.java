/** Metrics of a process, all with bounded cardinality. */
package org.carobhoist.server.metrics;
