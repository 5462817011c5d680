package org.carobhoist.core.rollout;

/**
 * Names one attempt at a sample.
 *
 * @param sample the sample
 * @param number the attempt; drawn at random by the entry that starts it, so that two entries don't
 *     use the same one
 */
public record AttemptKey(SampleKey sample, int number) {}
