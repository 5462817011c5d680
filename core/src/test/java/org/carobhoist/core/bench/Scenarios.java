package org.carobhoist.core.bench;

import java.time.Duration;
import java.util.List;

/** Loads and faults of the traffic simulations. */
final class Scenarios {

  static final long SEED = 4_300;
  static final Duration DEADLINE = Duration.ofMillis(500);
  static final Duration SLOW_DEADLINE = Duration.ofSeconds(2);

  private static final int ENDPOINTS = 6;
  private static final int ENTRIES = 4;
  private static final double NORMAL_LOAD = 0.6;
  private static final double SLOWDOWN = 10;
  private static final Duration FAULT_AT = Duration.ofSeconds(2);
  private static final Duration LINK_LOSS_DETECTION_TIME = Duration.ofMillis(4_500);

  private Scenarios() {}

  /** A fault to inject into a running simulation. */
  interface Fault {

    /** Injects the fault. */
    void inject(TrafficSimulation simulation);
  }

  static TrafficResult overload(double multiple, SimulatedEntry.Mode mode) {
    return new TrafficSimulation(load(multiple, DEADLINE), mode, SEED).run();
  }

  static TrafficResult faulty(Fault fault, SimulatedEntry.Mode mode) {
    TrafficSimulation simulation =
        new TrafficSimulation(load(NORMAL_LOAD, SLOW_DEADLINE), mode, SEED);
    simulation.at(FAULT_AT, () -> fault.inject(simulation));
    return simulation.run();
  }

  static void slowEndpoint(TrafficSimulation simulation) {
    simulation.endpoint(0).setSlowdown(SLOWDOWN);
  }

  static void deadEndpoint(TrafficSimulation simulation) {
    simulation.cutOff(simulation.endpoint(0), LINK_LOSS_DETECTION_TIME);
  }

  static void lostZone(TrafficSimulation simulation) {
    List<SimulatedEndpoint> all = simulation.endpoints();
    all.stream()
        .filter(e -> e.zone().equals(TrafficSimulation.zone(0)))
        .forEach(e -> simulation.cutOff(e, LINK_LOSS_DETECTION_TIME));
  }

  static TrafficResult prompts(SimulatedEntry.Mode mode) {
    TrafficSimulation.Load load =
        new TrafficSimulation.Load(
            8,
            ENTRIES,
            16,
            Duration.ofMillis(200),
            Duration.ofMillis(200),
            Duration.ofMillis(300),
            400,
            60,
            0.6,
            Duration.ofSeconds(10),
            Duration.ofSeconds(20),
            Duration.ofSeconds(40));
    return new TrafficSimulation(load, mode, SEED).run();
  }

  private static TrafficSimulation.Load load(double multiple, Duration deadline) {
    return new TrafficSimulation.Load(
        ENDPOINTS,
        ENTRIES,
        8,
        Duration.ofMillis(5),
        Duration.ofMillis(15),
        Duration.ZERO,
        0,
        1,
        multiple,
        deadline,
        Duration.ofSeconds(5),
        Duration.ofSeconds(15));
  }
}
