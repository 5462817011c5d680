package org.carobhoist.core.rollout;

import java.util.List;

/**
 * A sidecar's reply to a query for the samples and attempts of a step that it holds.
 *
 * @param query the number of the query
 * @param finished the finished samples
 * @param running the attempts that are queued or running
 */
public record HeldSamples(
    long query, List<FinishedSample> finished, List<RunningAttempt> running) {}
