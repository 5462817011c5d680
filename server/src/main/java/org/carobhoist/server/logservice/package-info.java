/** Clients of the platform's log, instance list and scorers, and the formats of log records. */
package org.carobhoist.server.logservice;
