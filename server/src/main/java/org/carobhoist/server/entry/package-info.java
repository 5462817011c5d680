/** The entry role: serves callers and trainers over HTTP and forwards their work to sidecars. */
package org.carobhoist.server.entry;
