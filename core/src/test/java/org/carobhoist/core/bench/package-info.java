/**
 * Traffic simulations of the real classes of {@code core} in virtual time: the same seed gives the
 * same results on every machine. Benchmarks print their results; tests check targets.
 */
package org.carobhoist.core.bench;
