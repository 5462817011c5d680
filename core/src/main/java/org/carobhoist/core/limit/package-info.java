/** Admission control at a sidecar, and the memory budget for buffered responses. */
package org.carobhoist.core.limit;
