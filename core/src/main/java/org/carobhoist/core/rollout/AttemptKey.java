package org.carobhoist.core.rollout;

/**
 * Identifies one attempt to generate a sample.
 *
 * @param sample the sample
 * @param number the attempt's number; drawn at random by the entry that starts the attempt, so that
 *     two entries are unlikely to pick the same one
 */
public record AttemptKey(SampleKey sample, int number) {}
