package org.carobhoist.core.manifest;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.carobhoist.core.common.ServiceName;
import org.carobhoist.core.request.RetryPolicy;

/**
 * How requests to a part of a host are treated.
 *
 * @param name the route's name
 * @param host the host, without a port
 * @param pathPrefix the beginning of the path; begins and ends with a slash
 * @param kind what may be done with its requests
 * @param timeout longest time that a request is kept waiting
 * @param splits the services that share its requests; at least one
 * @param retry how many endpoints a request may be sent to
 * @param resumable whether a broken stream may go on at another endpoint
 * @param jobs what holds for its jobs; empty for other kinds
 */
public record Route(
    String name,
    String host,
    String pathPrefix,
    RouteKind kind,
    Duration timeout,
    List<Split> splits,
    RetryPolicy retry,
    boolean resumable,
    Optional<JobTerms> jobs) {

  /**
   * Checks that there is a service.
   *
   * @throws IllegalArgumentException if there is none
   */
  public Route {
    splits = List.copyOf(splits);
    if (splits.isEmpty()) {
      throw new IllegalArgumentException("route " + name + " has no service");
    }
  }

  /** Returns whether a request that may have run can be sent again. */
  public boolean isIdempotent() {
    return kind == RouteKind.IDEMPOTENT || (kind == RouteKind.STREAMING && resumable);
  }

  /** Draws one of the services by their weights. */
  public ServiceName draw(RandomGenerator random) {
    int sum = splits.stream().mapToInt(Split::weight).sum();
    int left = sum > 0 ? random.nextInt(sum) : 0;
    for (Split s : splits) {
      left -= s.weight();
      if (left < 0) {
        return s.service();
      }
    }
    return splits.get(0).service();
  }
}
