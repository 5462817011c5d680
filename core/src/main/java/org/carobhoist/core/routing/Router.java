package org.carobhoist.core.routing;

import java.time.Duration;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;
import org.carobhoist.core.capacity.CapacityPolicy;
import org.carobhoist.core.capacity.CapacityTable;
import org.carobhoist.core.capacity.ExpectedTimeOrder;
import org.carobhoist.core.common.Clock;
import org.carobhoist.core.common.InstanceId;
import org.carobhoist.core.common.ServiceName;
import org.carobhoist.core.common.Zone;

/**
 * Selects the endpoint for a request among the usable endpoints of the service that the request has
 * not tried yet. Endpoints ejected as outliers are skipped unless none would be left.
 *
 * <p>By default the router uses the power of two choices: of two random candidates, the one with
 * the clearly lower expected time of one more request wins; if the times differ little, the one
 * with the lower load. The winner in the instance's own availability zone is preferred to the
 * winner in other zones, unless it is full or clearly more loaded, or takes far longer.
 *
 * <p>With a prompt prefix, the endpoints are ranked for the prefix by rendezvous hashing, and the
 * first one within the load bound is selected: neither its requests in flight nor the requests that
 * this instance recently sent to it may exceed the mean by more than the allowed imbalance. If no
 * endpoint is within the bound, the default selection applies.
 */
public final class Router {

  private static final double FULL_LOAD = 1.0;

  /** Allowed ratio of requests in flight at the local candidate to those at the remote one. */
  private static final double ZONE_LOAD_RATIO = 1.25;

  /** Requests in flight that the local candidate may have in excess of that ratio. */
  private static final double ZONE_SLACK_REQUESTS = 1;

  /**
   * Ratio of the expected time at the local candidate to that at the remote one above which the
   * remote one is chosen.
   */
  private static final double ZONE_TIME_RATIO = 2;

  /**
   * Recent requests allowed in excess of the imbalance bound, so that a service with little traffic
   * keeps its affinity.
   */
  private static final double RECENT_SLACK_REQUESTS = 4;

  private final RandomGenerator random;
  private final Clock clock;
  private final RouterPolicy policy;
  private final CapacityTable capacities;
  private final Map<ServiceName, ServiceState> stateByService = new HashMap<>();

  private record ServiceState(OutlierDetector outliers, RecentRequestCounter recent) {}

  private Router(
      RandomGenerator random, Clock clock, RouterPolicy policy, CapacityTable capacities) {
    this.random = random;
    this.clock = clock;
    this.policy = policy;
    this.capacities = capacities;
  }

  /** Returns a router without measured capacities; it compares endpoints by their load only. */
  public static Router create(RandomGenerator random, Clock clock, RouterPolicy policy) {
    return create(random, clock, policy, CapacityTable.create(CapacityPolicy.DEFAULT, clock));
  }

  /** Returns a router that uses the given generator for its random choices. */
  public static Router create(
      RandomGenerator random, Clock clock, RouterPolicy policy, CapacityTable capacities) {
    return new Router(random, clock, policy, capacities);
  }

  /** Returns the selected endpoint, or empty if none is usable. */
  public Optional<EndpointView> choose(RouteQuery query, Collection<EndpointView> endpoints) {
    List<EndpointView> usable = endpoints.stream().filter(e -> isEligible(query, e)).toList();
    if (usable.isEmpty()) {
      return Optional.empty();
    }
    ServiceState serviceState = serviceState(query.service());
    Set<InstanceId> ejected = serviceState.outliers().ejected(ofService(query, endpoints));
    List<EndpointView> healthy =
        usable.stream().filter(e -> !ejected.contains(e.instance())).toList();
    EndpointView chosen = chooseFrom(query, healthy.isEmpty() ? usable : healthy, serviceState);
    serviceState.outliers().onChosen(chosen.instance());
    serviceState.recent().onChosen(chosen.instance());
    return Optional.of(chosen);
  }

  /** Called when an endpoint has responded, with the time from sending to the response head. */
  public void onSuccess(ServiceName service, InstanceId endpoint, Duration latency) {
    serviceState(service).outliers().onSuccess(endpoint, latency);
  }

  /**
   * Called when a request failed at an endpoint or on its link; a refusal because of overload
   * doesn't count as a failure.
   */
  public void onFailure(ServiceName service, InstanceId endpoint) {
    serviceState(service).outliers().onFailure(endpoint);
  }

  /** Returns which of a service's endpoints are ejected now, for the state dump. */
  public Set<InstanceId> ejected(ServiceName service, Collection<EndpointView> endpoints) {
    return serviceState(service).outliers().ejected(endpoints);
  }

  private EndpointView chooseFrom(
      RouteQuery query, List<EndpointView> candidates, ServiceState serviceState) {
    if (!query.prefix().isEmpty()) {
      Optional<EndpointView> byPrefix = chooseByPrefix(query.prefix(), candidates, serviceState);
      if (byPrefix.isPresent()) {
        return byPrefix.get();
      }
    }
    return chooseByZone(query.zone(), candidates);
  }

  /**
   * Selects the candidate in the given zone, unless it is full or clearly more loaded than the one
   * in other zones.
   */
  private EndpointView chooseByZone(Zone zone, List<EndpointView> candidates) {
    Map<Boolean, List<EndpointView>> byZone =
        candidates.stream().collect(Collectors.partitioningBy(e -> e.zone().equals(zone)));
    if (byZone.get(true).isEmpty() || byZone.get(false).isEmpty()) {
      return betterOfTwo(candidates, neutralNanos(candidates));
    }
    double neutral = neutralNanos(candidates);
    EndpointView local = betterOfTwo(byZone.get(true), neutral);
    EndpointView remote = betterOfTwo(byZone.get(false), neutral);
    boolean localFull = local.load() >= FULL_LOAD && remote.load() < local.load();
    boolean localOverloaded =
        inFlight(local) > ZONE_LOAD_RATIO * inFlight(remote) + ZONE_SLACK_REQUESTS;
    boolean localSlow =
        new ExpectedTimeOrder(ZONE_TIME_RATIO)
            .isClearlyFaster(option(remote, neutral), option(local, neutral));
    return localFull || localOverloaded || localSlow ? remote : local;
  }

  private Optional<EndpointView> chooseByPrefix(
      PromptPrefix prefix, List<EndpointView> candidates, ServiceState serviceState) {
    Comparator<EndpointView> byScore =
        Comparator.comparingLong(e -> Rendezvous.score(prefix.affinityKey(), e.instance().value()));
    double totalInFlight = candidates.stream().mapToInt(Router::inFlight).sum() + 1.0;
    double totalLimit = candidates.stream().mapToInt(EndpointView::limit).sum();
    double recentRequests = serviceState.recent().total(candidates) + 1;
    return candidates.stream()
        .sorted(byScore.reversed())
        .filter(
            e -> inFlight(e) + 1 <= Math.ceil(maxAllowed(totalInFlight * e.limit() / totalLimit)))
        .filter(
            e ->
                serviceState.recent().count(e.instance()) + 1
                    <= maxAllowed(recentRequests / candidates.size()) + RECENT_SLACK_REQUESTS)
        .findFirst();
  }

  private double maxAllowed(double mean) {
    return policy.maxImbalance() * mean;
  }

  private static int inFlight(EndpointView e) {
    return Math.max(e.ownInFlight(), e.reportedInFlight());
  }

  private double neutralNanos(List<EndpointView> candidates) {
    return capacities.neutralNanos(candidates.stream().map(EndpointView::instance).toList());
  }

  private ExpectedTimeOrder.Option option(EndpointView e, double neutralNanos) {
    double nanos =
        capacities.expectedNanos(
            e.instance(), e.ownInFlight(), e.reportedInFlight(), e.limit(), neutralNanos);
    return new ExpectedTimeOrder.Option(nanos, e.load());
  }

  private EndpointView betterOfTwo(List<EndpointView> candidates, double neutralNanos) {
    int count = candidates.size();
    EndpointView first = candidates.get(random.nextInt(count));
    if (count == 1) {
      return first;
    }
    int secondIndex = random.nextInt(count - 1);
    EndpointView second = candidates.get(secondIndex);
    if (second == first) {
      second = candidates.get(count - 1);
    }
    boolean secondIsBetter =
        capacities.order().isBetter(option(second, neutralNanos), option(first, neutralNanos));
    return secondIsBetter ? second : first;
  }

  private ServiceState serviceState(ServiceName service) {
    return stateByService.computeIfAbsent(
        service,
        key ->
            new ServiceState(new OutlierDetector(policy, clock), new RecentRequestCounter(clock)));
  }

  private static List<EndpointView> ofService(
      RouteQuery query, Collection<EndpointView> endpoints) {
    return endpoints.stream().filter(e -> e.service().equals(query.service())).toList();
  }

  private static boolean isEligible(RouteQuery query, EndpointView e) {
    return e.usable()
        && e.service().equals(query.service())
        && !query.excluded().contains(e.instance());
  }
}
