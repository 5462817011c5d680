/** Admission at a sidecar: concurrency limit, bounded queue and priorities. */
package org.carobhoist.core.limit;
