/** Weight swaps: orders with fencing numbers, prefetching, loading and reading back. */
package org.carobhoist.core.swap;
