/** The process's metrics, all of small and fixed cardinality. */
package org.carobhoist.server.metrics;
