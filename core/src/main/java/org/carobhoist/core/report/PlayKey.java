package org.carobhoist.core.report;

/**
 * Identifies what several variants of the system are played on.
 *
 * @param site the name of the installation
 * @param day the name of the day
 * @param seed the seed of its variations
 */
public record PlayKey(String site, String day, long seed) {}
