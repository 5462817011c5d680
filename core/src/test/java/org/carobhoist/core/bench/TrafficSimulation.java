package org.carobhoist.core.bench;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import org.carobhoist.core.common.EndpointKind;
import org.carobhoist.core.common.Incarnation;
import org.carobhoist.core.common.InstanceId;
import org.carobhoist.core.common.ServiceName;
import org.carobhoist.core.common.WeightVersion;
import org.carobhoist.core.common.Zone;
import org.carobhoist.core.limit.LimitPolicy;
import org.carobhoist.core.membership.EndpointAnnouncement;
import org.carobhoist.core.membership.EndpointPhase;
import org.carobhoist.core.testing.EventQueue;
import org.carobhoist.core.testing.ManualClock;

/**
 * Simulates Poisson traffic through entries to the endpoints of one service in three availability
 * zones. Endpoints announce their load to the entries once a second.
 */
final class TrafficSimulation {

  static final ServiceName SERVICE = new ServiceName("reservas");

  private static final Duration ANNOUNCEMENT_INTERVAL = Duration.ofSeconds(1);
  private static final Duration COOL_DOWN = Duration.ofSeconds(10);
  private static final int ZONES = 3;

  private final Load load;
  private final ManualClock clock = new ManualClock();
  private final EventQueue events = new EventQueue(clock);
  private final SplittableRandom random;
  private final List<SimulatedEndpoint> endpoints = new ArrayList<>();
  private final List<SimulatedEntry> entries = new ArrayList<>();
  private final TrafficResult result = new TrafficResult();
  private long sequence;
  private long lastRequest;

  /**
   * Parameters of a simulation.
   *
   * @param endpoints number of endpoints
   * @param entries number of entries
   * @param workers number of requests that an endpoint can run at full speed concurrently
   * @param fixedWork constant part of the processing time of each request
   * @param randomWork mean of the exponentially distributed part of the processing time
   * @param missWork additional processing time if the prompt prefix isn't cached
   * @param prefixes number of distinct prompt prefixes, drawn by Zipf's law; 0 for none
   * @param cachedPrefixes number of prefixes that an endpoint caches
   * @param multiple offered load as a multiple of the capacity
   * @param deadline deadline of each request, from its start
   * @param warmUp time before requests are counted
   * @param time time during which requests are counted
   */
  record Load(
      int endpoints,
      int entries,
      int workers,
      Duration fixedWork,
      Duration randomWork,
      Duration missWork,
      int prefixes,
      int cachedPrefixes,
      double multiple,
      Duration deadline,
      Duration warmUp,
      Duration time) {

    /** Returns the requests per second that keep all workers busy if every prefix is cached. */
    double capacity() {
      return endpoints * workers / seconds(fixedWork.plus(randomWork));
    }
  }

  TrafficSimulation(Load load, SimulatedEntry.Mode mode, long seed) {
    this.load = load;
    this.random = new SplittableRandom(seed);
    LimitPolicy limits = new LimitPolicy(32, 1, 256, 256, Duration.ofSeconds(10));
    SimulatedEndpoint.Settings settings =
        new SimulatedEndpoint.Settings(load.workers(), load.cachedPrefixes(), limits);
    for (int i = 0; i < load.endpoints(); i++) {
      InstanceId id = new InstanceId("endpoint-" + i);
      endpoints.add(new SimulatedEndpoint(id, zone(i), settings, clock, events));
    }
    for (int i = 0; i < load.entries(); i++) {
      entries.add(
          new SimulatedEntry(mode, zone(i), endpoints, clock, events, random.split(), result));
    }
  }

  SimulatedEndpoint endpoint(int number) {
    return endpoints.get(number);
  }

  List<SimulatedEndpoint> endpoints() {
    return endpoints;
  }

  /** Runs an action at a time after the warm-up. */
  void at(Duration time, Runnable action) {
    events.after(load.warmUp().plus(time), action);
  }

  /** Disconnects an endpoint from all entries, which detect the loss of the link after a delay. */
  void cutOff(SimulatedEndpoint endpoint, Duration noticedAfter) {
    endpoint.kill();
    events.after(noticedAfter, () -> entries.forEach(e -> e.onLinkLost(endpoint.id())));
  }

  TrafficResult run() {
    announce();
    startNextRequest();
    events.run(load.warmUp().plus(load.time()).plus(COOL_DOWN));
    result.setEndpointCounts(endpoints.stream().map(SimulatedEndpoint::handledRequests).toList());
    return result;
  }

  static Zone zone(int number) {
    return new Zone("centro-" + (char) ('a' + number % ZONES));
  }

  private void announce() {
    endpoints.stream().filter(e -> !e.isDead()).forEach(this::announce);
    events.after(ANNOUNCEMENT_INTERVAL, this::announce);
  }

  private void announce(SimulatedEndpoint e) {
    EndpointAnnouncement a =
        new EndpointAnnouncement(
            e.id(),
            new Incarnation("1"),
            e.zone(),
            SERVICE,
            EndpointKind.PLAIN,
            EndpointPhase.SERVING,
            e.queue().running(),
            e.queue().queued(),
            e.queue().limit(),
            new WeightVersion(0),
            ++sequence);
    entries.forEach(entry -> entry.onAnnouncement(a));
  }

  private void startNextRequest() {
    Duration end = load.warmUp().plus(load.time());
    if (clock.elapsed().compareTo(end) >= 0) {
      return;
    }
    boolean counted = clock.elapsed().compareTo(load.warmUp()) >= 0;
    SimulatedEntry.Request request =
        new SimulatedEntry.Request(
            ++lastRequest, prefix(), work(), seconds(load.missWork()), load.deadline(), counted);
    entries.get((int) (lastRequest % entries.size())).start(request);
    double interArrivalSeconds = exponential(1 / (load.multiple() * load.capacity()));
    events.after(Duration.ofNanos((long) (interArrivalSeconds * 1e9)), this::startNextRequest);
  }

  private double work() {
    return seconds(load.fixedWork()) + exponential(seconds(load.randomWork()));
  }

  /** Draws a prefix; its probability decreases with its rank (Zipf's law). */
  private Optional<Long> prefix() {
    if (load.prefixes() == 0) {
      return Optional.empty();
    }
    double rank = Math.pow(load.prefixes(), random.nextDouble());
    return Optional.of((long) rank);
  }

  private double exponential(double mean) {
    return -mean * Math.log(1 - random.nextDouble());
  }

  private static double seconds(Duration d) {
    return d.toNanos() / 1e9;
  }
}
