/** The demo: a deployment with stand-ins in one JVM, checked under load and faults. */
package org.carobhoist.server.demo;
