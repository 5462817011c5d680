package org.carobhoist.core.reward;

import java.time.Duration;
import java.util.Collection;
import java.util.Optional;
import java.util.Set;
import org.carobhoist.core.common.InstanceId;
import org.carobhoist.core.common.ServiceName;
import org.carobhoist.core.job.RewardRequest;
import org.carobhoist.core.routing.EndpointView;

/** The interface through which {@link RewardCallScheduler} looks up and calls endpoints. */
public interface RewardPort {

  /**
   * The destination of a reward call according to the manifest in force.
   *
   * @param service the service that handles the call
   * @param maxAttempts number of errors returned by endpoints after which the call is given up
   */
  record Destination(ServiceName service, int maxAttempts) {}

  /** Returns the destination of a call; empty if no route currently matches it. */
  Optional<Destination> destination(RewardRequest request);

  /** Returns the endpoints of a service. */
  Collection<EndpointView> endpoints(ServiceName service);

  /**
   * Returns the endpoint to use among the given ones, if any is usable. An excluded endpoint is
   * returned only if no other one is usable.
   */
  Optional<InstanceId> choose(
      ServiceName service, Collection<EndpointView> among, Set<InstanceId> excluded);

  /**
   * Sends an attempt of a call; its answer is passed to {@link RewardCallScheduler#onAnswer}.
   *
   * @param number number of the attempt, unique in the process
   * @param timeout time within which the answer must arrive
   */
  void send(
      long number,
      ServiceName service,
      InstanceId endpoint,
      RewardRequest request,
      Duration timeout);

  /** Cancels an attempt; an answer to it is ignored. */
  void cancel(long number);

  /** Logs a decision on a call. */
  void logDecision(Decision decision, RewardKey key, Object... fields);

  /** Decisions that are logged. */
  enum Decision {
    /** An endpoint returned the score. */
    SCORED,
    /** An attempt failed, or no route matches the call. */
    FAILED,
    /** The call is given up; the item gets no score. */
    GIVEN_UP
  }
}
