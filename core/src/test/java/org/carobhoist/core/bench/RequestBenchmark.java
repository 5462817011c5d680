package org.carobhoist.core.bench;

import static com.google.common.truth.Truth.assertThat;

import java.util.Locale;
import org.junit.jupiter.api.Test;

/** Prints results of the traffic simulations; run with {@code -Dtest=RequestBenchmark}. */
final class RequestBenchmark {

  @Test
  void overload() {
    for (double multiple : new double[] {1, 2, 4}) {
      for (SimulatedEntry.Mode mode :
          new SimulatedEntry.Mode[] {SimulatedEntry.Mode.ROUND_ROBIN, SimulatedEntry.Mode.FULL}) {
        print(multiple + "x " + mode, Scenarios.overload(multiple, mode));
      }
    }
  }

  @Test
  void faults() {
    for (SimulatedEntry.Mode mode :
        new SimulatedEntry.Mode[] {SimulatedEntry.Mode.ROUND_ROBIN, SimulatedEntry.Mode.FULL}) {
      print("no fault " + mode, Scenarios.faulty(simulation -> {}, mode));
      print("one slow " + mode, Scenarios.faulty(Scenarios::slowEndpoint, mode));
      print("one dead " + mode, Scenarios.faulty(Scenarios::deadEndpoint, mode));
      print("zone gone " + mode, Scenarios.faulty(Scenarios::lostZone, mode));
    }
  }

  @Test
  void prompts() {
    for (SimulatedEntry.Mode mode : SimulatedEntry.Mode.values()) {
      print("prompts " + mode, Scenarios.prompts(mode));
    }
  }

  private static void print(String name, TrafficResult r) {
    assertThat(r.offered()).isGreaterThan(0);
    System.out.printf(
        Locale.ROOT,
        "%-28s offered %6d in time %6d refused %6d late %6d failed %5d"
            + " p50 %7.1f ms p99 %7.1f ms hits %.3f imbalance %.3f%n",
        name,
        r.offered(),
        r.completed(),
        r.refused(),
        r.late(),
        r.failed(),
        r.p50().toNanos() / 1e6,
        r.p99().toNanos() / 1e6,
        r.hitRate(),
        r.imbalance());
  }
}
