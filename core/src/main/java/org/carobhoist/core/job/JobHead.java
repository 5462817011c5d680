package org.carobhoist.core.job;

import java.time.Instant;
import java.util.Optional;
import org.carobhoist.core.account.AccountName;
import org.carobhoist.core.common.ServiceName;
import org.carobhoist.core.manifest.JobRules;

/**
 * Properties of a job that are fixed when it is accepted.
 *
 * @param id its id
 * @param service the service whose engines run it
 * @param host the host name that it was submitted to
 * @param route name of the route that it was submitted through
 * @param acceptedAt when it was accepted, by the clock of the process that accepted it
 * @param rules the route's rules for jobs
 * @param maxAttempts number of failures after which an item is given up
 * @param itemCount number of items
 * @param account the account that submitted it; empty if it was submitted without one
 */
public record JobHead(
    JobId id,
    ServiceName service,
    String host,
    String route,
    Instant acceptedAt,
    JobRules rules,
    int maxAttempts,
    int itemCount,
    Optional<AccountName> account) {

  /**
   * Checks that the id belongs to the account.
   *
   * @throws IllegalArgumentException if it doesn't
   */
  public JobHead {
    if (account.isPresent() ? !id.isScopedTo(account.get()) : id.isScoped()) {
      throw new IllegalArgumentException("job " + id + " doesn't belong to its account");
    }
  }

  /** Creates the head of a job that was submitted without an account. */
  public JobHead(
      JobId id,
      ServiceName service,
      String host,
      String route,
      Instant acceptedAt,
      JobRules rules,
      int maxAttempts,
      int itemCount) {
    this(id, service, host, route, acceptedAt, rules, maxAttempts, itemCount, Optional.empty());
  }

  /** Returns whether the retention time has expired, so that items may be given up. */
  public boolean isExpired(Instant now) {
    return now.isAfter(acceptedAt.plus(rules.retention()));
  }
}
