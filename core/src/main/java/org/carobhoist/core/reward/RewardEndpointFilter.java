package org.carobhoist.core.reward;

import java.util.Collection;
import java.util.List;
import java.util.function.Predicate;
import org.carobhoist.core.routing.EndpointView;

/**
 * Decides which endpoints may accept a reward call. The texts of a step are completed in a burst,
 * and each one causes a call to endpoints that also serve interactive callers. An interactive
 * caller notices any delay, while a step is hardly affected by some hundred milliseconds. So a
 * process makes only a few calls to an endpoint at a time, and part of the slots is left free. The
 * loads that endpoints report may be out of date, so a call that has waited for long is limited
 * only by the number of the process's own calls.
 */
final class RewardEndpointFilter {

  private final RewardPolicy policy;

  RewardEndpointFilter(RewardPolicy policy) {
    this.policy = policy;
  }

  /**
   * Returns the endpoints that may accept a call now.
   *
   * @param hasOwnCapacity whether this process may have one more call at an endpoint
   * @param canWait whether the call can still wait for an endpoint with free slots
   */
  List<EndpointView> eligible(
      Collection<EndpointView> endpoints, Predicate<EndpointView> hasOwnCapacity, boolean canWait) {
    return endpoints.stream()
        .filter(hasOwnCapacity)
        .filter(e -> !canWait || hasFreeSlots(e))
        .toList();
  }

  private boolean hasFreeSlots(EndpointView e) {
    int inFlight = Math.max(e.ownInFlight(), e.reportedInFlight());
    return inFlight + 1 <= Math.max(1, policy.loadShare() * e.limit());
  }
}
