package org.carobhoist.core.manifest;

import java.time.Duration;

/**
 * What holds for the jobs of a route.
 *
 * @param deadline time from a job's submission in which its results are wanted
 * @param retention time from a job's submission after which an item may be given up
 * @param singleVersion whether all events of a result have to come from one weight version
 */
public record JobTerms(Duration deadline, Duration retention, boolean singleVersion) {}
