package org.carobhoist.core.reward;

import java.time.Duration;
import java.util.Collection;
import java.util.Optional;
import java.util.Set;
import org.carobhoist.core.common.InstanceId;
import org.carobhoist.core.common.ServiceName;
import org.carobhoist.core.job.RewardRequest;
import org.carobhoist.core.routing.EndpointView;

/** What {@link RewardCalls} ask of their surroundings. */
public interface RewardPort {

  /**
   * The way of a reward call by the manifest in force.
   *
   * @param service the service that answers it
   * @param maxAttempts errors of endpoints after which it is given up
   */
  record Way(ServiceName service, int maxAttempts) {}

  /** Returns the way of a call; empty if no route that takes such calls leads there now. */
  Optional<Way> way(RewardRequest request);

  /** Returns the endpoints of a service. */
  Collection<EndpointView> endpoints(ServiceName service);

  /** Returns the endpoint to use among some, if one is usable; excluded ones only if need be. */
  Optional<InstanceId> choose(
      ServiceName service, Collection<EndpointView> among, Set<InstanceId> excluded);

  /**
   * Sends a call; its answer goes to {@link RewardCalls#onAnswer}.
   *
   * @param number number of the try, unique in the process
   * @param timeout time for the answer
   */
  void send(
      long number,
      ServiceName service,
      InstanceId endpoint,
      RewardRequest request,
      Duration timeout);

  /** Breaks a try off; no answer to it is wanted. */
  void cancel(long number);

  /** Notes a decision on a call. */
  void note(Decision decision, RewardKey key, Object... fields);

  /** Decisions that are worth a line in the log. */
  enum Decision {
    /** An endpoint gave the score. */
    SCORED,
    /** A try failed, or no way leads to an endpoint. */
    FAILED,
    /** The item is given up. */
    GIVEN_UP
  }
}
