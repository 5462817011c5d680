/** Structured logging of numbered events. */
package org.carobhoist.server.log;
