/** The sidecar role: links to entries on one side, one endpoint on the other. */
package org.carobhoist.server.sidecar;
