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
import org.carobhoist.core.common.Clock;
import org.carobhoist.core.common.InstanceId;
import org.carobhoist.core.common.ServiceName;
import org.carobhoist.core.common.Zone;

/**
 * Selects the endpoint for a request among the usable endpoints of the service that the request has
 * not tried yet. Endpoints ejected as outliers are skipped unless none would be left.
 *
 * <p>By default the router uses the power of two choices: of two random candidates, the one with
 * the lower load wins. The winner in the instance's own availability zone is preferred to the
 * winner in other zones, unless it is full or clearly more loaded.
 *
 * <p>With a prompt prefix, the endpoints are ranked for the prefix by rendezvous hashing, and the
 * first one within the load bound is selected: neither its requests in flight nor the requests that
 * this instance recently sent to it may exceed the mean by more than the allowed imbalance. If no
 * endpoint is within the bound, the default selection applies.
 */
public final class Router {

  private static final double FULL = 1.0;

  /** Allowed ratio of requests in flight at the local candidate to those at the remote one. */
  private static final double ZONE_PREFERENCE = 1.25;

  /** Requests in flight that the local candidate may have in excess of that ratio. */
  private static final double ZONE_SLACK = 1;

  /**
   * Recent requests allowed in excess of the imbalance bound, so that a service with little traffic
   * keeps its affinity.
   */
  private static final double RECENT_SLACK = 4;

  private final RandomGenerator random;
  private final Clock clock;
  private final RouterPolicy policy;
  private final Map<ServiceName, Memory> memories = new HashMap<>();

  private record Memory(OutlierDetector outliers, RecentWork recent) {}

  private Router(RandomGenerator random, Clock clock, RouterPolicy policy) {
    this.random = random;
    this.clock = clock;
    this.policy = policy;
  }

  /** Returns a router that uses the given generator for its random choices. */
  public static Router create(RandomGenerator random, Clock clock, RouterPolicy policy) {
    return new Router(random, clock, policy);
  }

  /** Returns the selected endpoint, or empty if none is usable. */
  public Optional<EndpointView> choose(RouteQuery query, Collection<EndpointView> endpoints) {
    List<EndpointView> usable = endpoints.stream().filter(e -> fits(query, e)).toList();
    if (usable.isEmpty()) {
      return Optional.empty();
    }
    Memory memory = memory(query.service());
    Set<InstanceId> ejected = memory.outliers().ejected(ofService(query, endpoints));
    List<EndpointView> healthy =
        usable.stream().filter(e -> !ejected.contains(e.instance())).toList();
    EndpointView chosen = chooseFrom(query, healthy.isEmpty() ? usable : healthy, memory);
    memory.outliers().onChosen(chosen.instance());
    memory.recent().onChosen(chosen.instance());
    return Optional.of(chosen);
  }

  /** Called when an endpoint has responded, with the time from sending to the response head. */
  public void onSuccess(ServiceName service, InstanceId endpoint, Duration took) {
    memory(service).outliers().onSuccess(endpoint, took);
  }

  /**
   * Called when a request failed at an endpoint or on its link; a refusal because of overload
   * doesn't count as a failure.
   */
  public void onFailure(ServiceName service, InstanceId endpoint) {
    memory(service).outliers().onFailure(endpoint);
  }

  /** Returns which of a service's endpoints are ejected now, for the state dump. */
  public Set<InstanceId> ejected(ServiceName service, Collection<EndpointView> endpoints) {
    return memory(service).outliers().ejected(endpoints);
  }

  private EndpointView chooseFrom(RouteQuery query, List<EndpointView> from, Memory memory) {
    if (!query.prefix().isEmpty()) {
      Optional<EndpointView> affine = chooseAffine(query.prefix(), from, memory);
      if (affine.isPresent()) {
        return affine.get();
      }
    }
    return chooseNear(query.zone(), from);
  }

  /**
   * Selects the candidate in the given zone, unless it is full or clearly more loaded than the one
   * in other zones.
   */
  private EndpointView chooseNear(Zone zone, List<EndpointView> from) {
    Map<Boolean, List<EndpointView>> byZone =
        from.stream().collect(Collectors.partitioningBy(e -> e.zone().equals(zone)));
    if (byZone.get(true).isEmpty() || byZone.get(false).isEmpty()) {
      return betterOfTwo(from);
    }
    EndpointView near = betterOfTwo(byZone.get(true));
    EndpointView far = betterOfTwo(byZone.get(false));
    boolean spills = near.load() >= FULL && far.load() < near.load();
    boolean crowded = inFlight(near) > ZONE_PREFERENCE * inFlight(far) + ZONE_SLACK;
    return spills || crowded ? far : near;
  }

  private Optional<EndpointView> chooseAffine(
      PromptPrefix prefix, List<EndpointView> from, Memory memory) {
    Comparator<EndpointView> rank =
        Comparator.comparingLong(e -> Rendezvous.score(prefix.key(), e.instance().value()));
    double inFlight = from.stream().mapToInt(Router::inFlight).sum() + 1.0;
    double limits = from.stream().mapToInt(EndpointView::limit).sum();
    double recent = memory.recent().sum(from) + 1;
    return from.stream()
        .sorted(rank.reversed())
        .filter(e -> inFlight(e) + 1 <= Math.ceil(bound(inFlight * e.limit() / limits)))
        .filter(
            e -> memory.recent().of(e.instance()) + 1 <= bound(recent / from.size()) + RECENT_SLACK)
        .findFirst();
  }

  private double bound(double mean) {
    return policy.imbalance() * mean;
  }

  private static int inFlight(EndpointView e) {
    return Math.max(e.ownInFlight(), e.reportedInFlight());
  }

  private EndpointView betterOfTwo(List<EndpointView> candidates) {
    int n = candidates.size();
    EndpointView a = candidates.get(random.nextInt(n));
    if (n == 1) {
      return a;
    }
    int second = random.nextInt(n - 1);
    EndpointView b = candidates.get(second);
    if (b == a) {
      b = candidates.get(n - 1);
    }
    return b.load() < a.load() ? b : a;
  }

  private Memory memory(ServiceName service) {
    return memories.computeIfAbsent(
        service, key -> new Memory(new OutlierDetector(policy, clock), new RecentWork(clock)));
  }

  private static List<EndpointView> ofService(RouteQuery query, Collection<EndpointView> all) {
    return all.stream().filter(e -> e.service().equals(query.service())).toList();
  }

  private static boolean fits(RouteQuery query, EndpointView e) {
    return e.usable()
        && e.service().equals(query.service())
        && !query.excluded().contains(e.instance());
  }
}
