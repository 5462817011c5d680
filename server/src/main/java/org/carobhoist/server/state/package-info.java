/** The state dump of a process, and the HTTP routes common to all roles. */
package org.carobhoist.server.state;
