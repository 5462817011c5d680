package org.carobhoist.core.profile;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/**
 * Benchmark in virtual time of configuration distribution for growing deployments. Prints the time
 * until a change has reached all processes while half of the sidecars are cut off from the log, the
 * messages and reads per node, and the total reads in the first second after an outage. It asserts
 * nothing, and its name excludes it from the default test run; see docs/CAPACITY.md for the
 * command.
 */
final class SpreadScale {

  private static final int[][] SIZES = {{20, 30}, {40, 60}, {80, 120}, {160, 240}, {400, 600}};
  private static final int LINKS = 24;
  private static final int CHANGES = 10;
  private static final Duration POLL = Duration.ofMillis(50);
  private static final Duration PHASE_DURATION = Duration.ofSeconds(30);
  private static final long SEED = 9;

  @Test
  void measure() {
    for (int[] size : SIZES) {
      ConfigSyncSimulation sim =
          new ConfigSyncSimulation(
              ReplicaRules.STRICT, false, new SplittableRandom(SEED), size[0], size[1], LINKS);
      sim.nodes().forEach(SimNode::start);
      sim.run(PHASE_DURATION);
      long messages = sum(sim, true);
      long reads = sum(sim, false);
      sim.run(PHASE_DURATION);
      double nodeSeconds = sim.nodes().size() * (double) PHASE_DURATION.toSeconds();
      double messageRate = (sum(sim, true) - messages) / nodeSeconds;
      double readRate = (sum(sim, false) - reads) / nodeSeconds;
      List<Long> delays = propagationDelays(sim, size[0], size[1]);
      System.out.printf(
          "SCALE nodes=%d messages/node/s=%.2f reads/node/s=%.2f half-cut-off p50=%dms max=%dms"
              + " reads in the first s after an outage=%d%n",
          sim.nodes().size(),
          messageRate,
          readRate,
          delays.get(delays.size() / 2),
          delays.get(delays.size() - 1),
          readsAfterOutage(sim));
    }
  }

  private static List<Long> propagationDelays(ConfigSyncSimulation sim, int entries, int sidecars) {
    List<SimNode> cut = sim.nodes().subList(entries, entries + sidecars / 2);
    cut.forEach(n -> n.cutFromLog = true);
    sim.run(PHASE_DURATION);
    List<Long> delays = new ArrayList<>();
    for (int i = 0; i < CHANGES; i++) {
      long next = sim.log().next();
      sim.startOperator("p" + i, Duration.ZERO, false);
      while (sim.log().next() == next) {
        sim.run(Duration.ofMillis(1));
      }
      Duration start = sim.clock().elapsed();
      while (sim.nodes().stream().anyMatch(n -> n.coordinator().replica().nextOffset() <= next)) {
        sim.run(POLL);
      }
      delays.add(sim.clock().elapsed().minus(start).toMillis());
    }
    delays.sort(null);
    sim.heal();
    return delays;
  }

  private static long readsAfterOutage(ConfigSyncSimulation sim) {
    sim.log().down = true;
    sim.run(PHASE_DURATION);
    sim.log().down = false;
    long before = sum(sim, false);
    sim.run(Duration.ofSeconds(1));
    return sum(sim, false) - before;
  }

  private static long sum(ConfigSyncSimulation sim, boolean messages) {
    return sim.nodes().stream().mapToLong(n -> messages ? n.messages : n.reads).sum();
  }
}
