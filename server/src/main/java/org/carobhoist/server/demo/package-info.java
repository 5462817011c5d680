/** The demo: every role and stand-in in one JVM, under load and faults, checked by oracles. */
package org.carobhoist.server.demo;
