/** The sidecar role: a proxy between the entries' links and one endpoint. */
package org.carobhoist.server.sidecar;
