/** The coordinator's lease, kept by conditional appends to a shard of the shared store. */
package org.carobhoist.core.lease;
