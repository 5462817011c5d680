package org.carobhoist.core.rollout;

import java.util.List;

/**
 * A sidecar's answer on what it holds of a step.
 *
 * @param query the number of the question
 * @param finished finished samples
 * @param running attempts that wait or run
 */
public record HeldAnswer(long query, List<FinishedSample> finished, List<RunningAttempt> running) {}
