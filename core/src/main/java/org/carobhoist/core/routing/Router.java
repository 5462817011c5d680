package org.carobhoist.core.routing;

import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;

/**
 * Chooses the endpoint for a request: among usable endpoints of the service that were not tried
 * yet, those of the entry's own availability zone go first unless all of them are full; of two
 * drawn at random the one with the lower load wins.
 */
public final class Router {

  private static final double FULL = 1.0;

  private final RandomGenerator random;

  private Router(RandomGenerator random) {
    this.random = random;
  }

  /** Returns a router that draws from the given generator. */
  public static Router create(RandomGenerator random) {
    return new Router(random);
  }

  /** Returns the endpoint to use, or empty if none is usable. */
  public Optional<EndpointView> choose(RouteQuery query, Collection<EndpointView> endpoints) {
    List<EndpointView> usable = endpoints.stream().filter(e -> fits(query, e)).toList();
    if (usable.isEmpty()) {
      return Optional.empty();
    }
    List<EndpointView> near =
        usable.stream().filter(e -> e.zone().equals(query.zone()) && e.load() < FULL).toList();
    return Optional.of(betterOfTwo(near.isEmpty() ? usable : near));
  }

  private static boolean fits(RouteQuery query, EndpointView e) {
    return e.usable()
        && e.service().equals(query.service())
        && !query.excluded().contains(e.instance());
  }

  private EndpointView betterOfTwo(List<EndpointView> candidates) {
    int n = candidates.size();
    EndpointView a = candidates.get(random.nextInt(n));
    if (n == 1) {
      return a;
    }
    EndpointView b = candidates.get(random.nextInt(n));
    return b.load() < a.load() ? b : a;
  }
}
