package org.carobhoist.core.capacity;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import org.carobhoist.core.common.EndpointKind;
import org.carobhoist.core.common.InstanceId;
import org.carobhoist.core.common.ServiceName;
import org.carobhoist.core.common.WeightVersion;
import org.carobhoist.core.common.Zone;
import org.carobhoist.core.routing.EndpointView;
import org.carobhoist.core.routing.RouteQuery;
import org.carobhoist.core.routing.Router;
import org.carobhoist.core.routing.RouterPolicy;
import org.carobhoist.core.testing.ManualClock;

/**
 * Requests of one process that its router distributes over endpoints. A request's latency follows
 * from the requests in progress when it is sent, with 30% noise.
 */
final class RoutedLoadSimulation {

  static final int SLOTS = 8;

  private static final ServiceName SERVICE = new ServiceName("horno-lm");
  private static final Zone ZONE = new Zone("centro-a");

  /** Latency in milliseconds of a request by the requests in progress, itself included. */
  interface Speed {
    double millis(int inFlight, double seconds);
  }

  private record End(Duration at, InstanceId endpoint, int inFlight, Duration latency) {}

  private final ManualClock clock = new ManualClock();
  private final CapacityTable table = CapacityTable.create(CapacityPolicy.DEFAULT, clock);
  private final SplittableRandom random;
  private final Router router;
  private final boolean measured;
  private final List<Speed> speeds;
  private final Map<InstanceId, Integer> inFlight = new HashMap<>();
  private final Map<InstanceId, Integer> counts = new HashMap<>();
  private final PriorityQueue<End> ends = new PriorityQueue<>(Comparator.comparing(End::at));
  private double latencySum;

  RoutedLoadSimulation(long seed, boolean measured, List<Speed> speeds) {
    this.random = new SplittableRandom(seed);
    this.router = Router.create(random.split(), clock, RouterPolicy.DEFAULT, table);
    this.measured = measured;
    this.speeds = speeds;
  }

  /** Sends requests at random times; returns the mean latency in milliseconds. */
  double run(Duration duration, double requestsPerSecond) {
    counts.clear();
    latencySum = 0;
    int requests = 0;
    Duration end = clock.elapsed().plus(duration);
    while (clock.elapsed().compareTo(end) < 0) {
      double gap = -Math.log(1 - random.nextDouble()) / requestsPerSecond;
      Duration next = clock.elapsed().plusNanos((long) (gap * 1e9));
      while (!ends.isEmpty() && ends.peek().at().compareTo(next) <= 0) {
        onEnd(ends.poll());
      }
      advanceTo(next);
      send();
      requests++;
    }
    return latencySum / requests;
  }

  /** Returns the share of the last run's requests that an endpoint got. */
  double share(int endpoint) {
    double total = counts.values().stream().mapToInt(n -> n).sum();
    return counts.getOrDefault(id(endpoint), 0) / total;
  }

  private void send() {
    RouteQuery query = new RouteQuery(SERVICE, ZONE, Set.of(), 0);
    InstanceId chosen = router.choose(query, views()).orElseThrow().instance();
    int number = inFlight.merge(chosen, 1, Integer::sum);
    counts.merge(chosen, 1, Integer::sum);
    double seconds = clock.elapsed().toNanos() / 1e9;
    double noise = 0.7 + 0.6 * random.nextDouble();
    double millis = noise * speeds.get(index(chosen)).millis(number, seconds);
    latencySum += millis;
    Duration latency = Duration.ofNanos((long) (millis * 1e6));
    ends.add(new End(clock.elapsed().plus(latency), chosen, number, latency));
  }

  private void onEnd(End end) {
    advanceTo(end.at());
    inFlight.merge(end.endpoint(), -1, Integer::sum);
    if (measured) {
      table.onLatency(end.endpoint(), end.inFlight(), end.inFlight(), SLOTS, end.latency());
    }
  }

  private void advanceTo(Duration time) {
    clock.advance(time.minus(clock.elapsed()));
  }

  private List<EndpointView> views() {
    List<EndpointView> out = new ArrayList<>();
    for (int i = 0; i < speeds.size(); i++) {
      int load = inFlight.getOrDefault(id(i), 0);
      out.add(
          new EndpointView(
              id(i),
              SERVICE,
              EndpointKind.PLAIN,
              ZONE,
              true,
              load,
              load,
              SLOTS,
              new WeightVersion(0)));
    }
    return out;
  }

  private static InstanceId id(int endpoint) {
    return new InstanceId("e" + endpoint);
  }

  private static int index(InstanceId endpoint) {
    return Integer.parseInt(endpoint.value().substring(1));
  }
}
