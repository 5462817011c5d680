/** Weight swaps: orders with fencing numbers, prefetch, load and read back. */
package org.carobhoist.core.swap;
