package org.carobhoist.core.job;

import java.time.Instant;
import org.carobhoist.core.common.ServiceName;
import org.carobhoist.core.manifest.JobTerms;

/**
 * Properties of a job that are fixed when it is accepted.
 *
 * @param id its id
 * @param service the service whose engines run it
 * @param host the host name that it was submitted to
 * @param route name of the route that it was submitted through
 * @param acceptedAt when it was accepted, by the clock of the process that accepted it
 * @param terms the route's rules for jobs
 * @param maxAttempts number of failures after which an item is given up
 * @param total number of items
 */
public record JobHead(
    JobId id,
    ServiceName service,
    String host,
    String route,
    Instant acceptedAt,
    JobTerms terms,
    int maxAttempts,
    int total) {

  /** Returns whether the retention time has expired, so that items may be given up. */
  public boolean isExpired(Instant now) {
    return now.isAfter(acceptedAt.plus(terms.retention()));
  }
}
