package org.carobhoist.core.manifest;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.random.RandomGenerator;
import org.carobhoist.core.common.ServiceName;
import org.carobhoist.core.request.RetryPolicy;

/**
 * Rules for the requests to the paths of a host that have a common prefix.
 *
 * @param name the route's name
 * @param host the host name, without a port
 * @param pathPrefix prefix of the path; begins and ends with a slash
 * @param kind the kind of its requests, which determines how they may be retried
 * @param timeout maximum time that a request waits for its response
 * @param splits the services that share its requests; at least one
 * @param retry policy for the number of endpoints that a request may be sent to
 * @param resumable whether a broken stream may be continued at another endpoint
 * @param jobRules rules for its jobs; empty for other kinds
 * @param acceptsAnonymous whether requests without a known key are accepted
 * @param priority urgency of its requests, 0 is the most urgent; empty if not stated
 * @param targetLatency latency that its requests should have; empty if not stated
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
    Optional<JobRules> jobRules,
    boolean acceptsAnonymous,
    OptionalInt priority,
    Optional<Duration> targetLatency) {

  /**
   * Checks that there is at least one service and that the priority isn't negative.
   *
   * @throws IllegalArgumentException if one of these conditions isn't met
   */
  public Route {
    splits = List.copyOf(splits);
    if (splits.isEmpty()) {
      throw new IllegalArgumentException("route " + name + " has no service");
    }
    if (priority.isPresent() && priority.getAsInt() < 0) {
      throw new IllegalArgumentException("route " + name + " has a negative priority");
    }
  }

  /** Returns whether a request that may have run can be sent again. */
  public boolean isIdempotent() {
    return kind == RouteKind.IDEMPOTENT || (kind == RouteKind.STREAMING && resumable);
  }

  /** Selects one of the services at random, in proportion to their weights. */
  public ServiceName selectService(RandomGenerator random) {
    int totalWeight = splits.stream().mapToInt(Split::weight).sum();
    int remaining = totalWeight > 0 ? random.nextInt(totalWeight) : 0;
    for (Split s : splits) {
      remaining -= s.weight();
      if (remaining < 0) {
        return s.service();
      }
    }
    return splits.get(0).service();
  }
}
