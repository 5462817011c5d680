/** Clients of the platform's log, instance list and weight store. */
package org.carobhoist.server.logservice;
