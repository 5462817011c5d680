/**
 * Simulations of traffic in virtual time over the real classes of {@code core}: the same seed gives
 * the same figures on every machine. Benchmarks print their figures; tests check the targets.
 */
package org.carobhoist.core.bench;
