package org.carobhoist.core.routing;

import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import org.carobhoist.core.common.Clock;
import org.carobhoist.core.common.InstanceId;

/**
 * Counts the requests that an instance recently sent to each endpoint, with exponential decay: a
 * count halves within the half-life.
 */
final class RecentRequestCounter {

  private static final Duration HALF_LIFE = Duration.ofSeconds(10);

  private final Clock clock;
  private final Map<InstanceId, Count> counts = new HashMap<>();

  private static final class Count {
    private double value;
    private Duration updatedAt;
  }

  RecentRequestCounter(Clock clock) {
    this.clock = clock;
  }

  void onChosen(InstanceId endpoint) {
    Count c = counts.computeIfAbsent(endpoint, key -> new Count());
    c.value = decayedValue(c) + 1;
    c.updatedAt = clock.elapsed();
  }

  double count(InstanceId endpoint) {
    Count c = counts.get(endpoint);
    return c == null ? 0 : decayedValue(c);
  }

  double total(Collection<EndpointView> endpoints) {
    return endpoints.stream().mapToDouble(e -> count(e.instance())).sum();
  }

  private double decayedValue(Count c) {
    if (c.updatedAt == null) {
      return 0;
    }
    double age = clock.elapsed().minus(c.updatedAt).toNanos();
    return c.value * Math.pow(0.5, age / HALF_LIFE.toNanos());
  }
}
