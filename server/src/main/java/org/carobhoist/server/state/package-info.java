/** Dumps of a process's state. */
package org.carobhoist.server.state;
