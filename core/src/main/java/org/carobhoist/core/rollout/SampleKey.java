package org.carobhoist.core.rollout;

/**
 * Names a sample of a step.
 *
 * @param step the step
 * @param group the group, from 0
 * @param index the sample within its group, from 0
 */
public record SampleKey(StepKey step, int group, int index) {}
