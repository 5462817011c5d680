package org.carobhoist.core.job;

import java.time.Instant;
import org.carobhoist.core.common.ServiceName;
import org.carobhoist.core.manifest.JobTerms;

/**
 * What is fixed of a job when it is accepted.
 *
 * @param id its id
 * @param service the service whose engines run it
 * @param host the host that it was sent to
 * @param route the route that it came by
 * @param acceptedAt when it was accepted, by the clock of the process that accepted it
 * @param terms what the route says of its jobs
 * @param maxAttempts failures of an item after which it is given up
 * @param total number of its items
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

  /** Returns whether an item may be given up by now. */
  public boolean isExpired(Instant now) {
    return now.isAfter(acceptedAt.plus(terms.retention()));
  }
}
