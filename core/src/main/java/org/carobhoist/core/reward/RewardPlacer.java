package org.carobhoist.core.reward;

import java.util.Collection;
import java.util.List;
import java.util.function.Predicate;
import org.carobhoist.core.routing.EndpointView;

/**
 * Which endpoints have a place for a reward call. The load that it answers: a step's texts end in a
 * burst, and each end is a call to the same endpoints that answer people. A caller notices every
 * wait, a step hardly notices some hundred ms; so a process has few calls at an endpoint, and a
 * part of the slots is left free. What endpoints say of their load may be old; a call that has
 * waited long heeds only the process's own bound.
 */
final class RewardPlacer {

  private final RewardPolicy policy;

  RewardPlacer(RewardPolicy policy) {
    this.policy = policy;
  }

  /**
   * Returns the endpoints that may take a call now.
   *
   * @param own calls of this process by endpoint: whether it may have one more there
   * @param patient whether the call can still wait for an endpoint that isn't loaded
   */
  List<EndpointView> open(
      Collection<EndpointView> endpoints, Predicate<EndpointView> own, boolean patient) {
    return endpoints.stream().filter(own).filter(e -> !patient || hasRoom(e)).toList();
  }

  private boolean hasRoom(EndpointView e) {
    int taken = Math.max(e.ownInFlight(), e.reportedInFlight());
    return taken + 1 <= Math.max(1, policy.loadShare() * e.limit());
  }
}
