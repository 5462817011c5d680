/** The entry role: callers and trainers on one side, links to sidecars on the other. */
package org.carobhoist.server.entry;
