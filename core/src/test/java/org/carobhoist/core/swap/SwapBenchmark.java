package org.carobhoist.core.swap;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;
import org.carobhoist.core.common.InstanceId;
import org.carobhoist.core.common.WeightVersion;
import org.carobhoist.core.testing.EventQueue;
import org.carobhoist.core.testing.ManualClock;
import org.junit.jupiter.api.Test;

/**
 * Measures a weight swap of all engines of a model in virtual time, for several request rates of
 * the weight store: the time until every engine serves the new version, and the maximum number of
 * engines out of rotation at once. The store rejects fetches beyond its rate limit. This benchmark
 * only prints its results; its class name excludes it from the default test run.
 */
final class SwapBenchmark {

  private static final List<Integer> SIZES = List.of(8, 75, 150, 300, 600);
  private static final List<Integer> STORE_RATES = List.of(1_000_000, 200, 100, 50);
  private static final Duration LATENCY = Duration.ofMillis(5);
  private static final Duration TICK = Duration.ofMillis(100);
  private static final Duration LOAD_TIME = Duration.ofSeconds(2);
  private static final Duration LIMIT = Duration.ofMinutes(3);

  @Test
  void measure() {
    for (int rate : STORE_RATES) {
      for (int size : SIZES) {
        System.out.println(new Fleet(size, rate).swap());
      }
    }
  }

  private static final class Fleet {

    private final ManualClock clock = new ManualClock();
    private final EventQueue queue = new EventQueue(clock);
    private final List<InstanceId> ids;
    private final List<Node> nodes = new ArrayList<>();
    private final int storeRate;
    private long currentSecond;
    private int fetchesInSecond;
    private int rejectedFetches;
    private int maxOutOfRotation;
    private Duration allServingAt = Duration.ZERO;

    private Fleet(int size, int storeRate) {
      this.storeRate = storeRate;
      this.ids = IntStream.range(0, size).mapToObj(i -> new InstanceId("engine-" + i)).toList();
      ids.forEach(id -> nodes.add(new Node(this, id)));
    }

    private String swap() {
      nodes.forEach(Node::start);
      queue.run(Duration.ofSeconds(1));
      Duration startedAt = clock.elapsed();
      WeightOrder order = new WeightOrder(SwapSimulation.MODEL, new WeightVersion(2), 10);
      nodes.forEach(n -> n.sidecar.onOrder(order));
      queue.run(LIMIT);
      return ("SWAP engines %d, store %d fetches/s: all serve after %.1f s,"
              + " most out at once %d, refused %d")
          .formatted(
              nodes.size(),
              storeRate,
              allServingAt.minus(startedAt).toMillis() / 1_000.0,
              maxOutOfRotation,
              rejectedFetches);
    }

    private boolean fetch() {
      long second = clock.elapsed().toSeconds();
      fetchesInSecond = second == currentSecond ? fetchesInSecond + 1 : 1;
      currentSecond = second;
      boolean allowed = fetchesInSecond <= storeRate;
      rejectedFetches += allowed ? 0 : 1;
      return allowed;
    }

    private void recordState() {
      maxOutOfRotation =
          Math.max(maxOutOfRotation, (int) nodes.stream().filter(n -> n.isOutOfRotation()).count());
      boolean all = nodes.stream().allMatch(n -> n.sidecar.served().equals(n.target()));
      if (all && allServingAt.isZero()) {
        allServingAt = clock.elapsed();
      }
    }
  }

  private static final class Node implements SwapPort {

    private final Fleet fleet;
    private final SwapCoordinator sidecar;
    private WeightVersion serves = new WeightVersion(1);
    private boolean started;

    private Node(Fleet fleet, InstanceId id) {
      this.fleet = fleet;
      this.sidecar = SwapCoordinator.create(id, this, SwapPolicy.DEFAULT, fleet.clock);
    }

    private void start() {
      sidecar.start();
      tick();
    }

    private void tick() {
      sidecar.tick();
      fleet.queue.after(TICK, this::tick);
    }

    private boolean isOutOfRotation() {
      return started && !sidecar.isInRotation();
    }

    private Optional<WeightVersion> target() {
      return Optional.of(new WeightVersion(2));
    }

    @Override
    public void prefetch(long call, WeightOrder order) {
      SwapEvent outcome = fleet.fetch() ? SwapEvent.DONE : SwapEvent.FAILED;
      fleet.queue.after(LATENCY, () -> sidecar.onCallEnded(call, outcome));
    }

    @Override
    public void load(long call, WeightOrder order) {
      fleet.queue.after(
          LOAD_TIME,
          () -> {
            serves = order.version();
            sidecar.onCallEnded(call, SwapEvent.DONE);
          });
    }

    @Override
    public void readServed(long call) {
      fleet.queue.after(LATENCY, () -> sidecar.onServed(call, Optional.of(serves)));
    }

    @Override
    public void readLog() {
      // Never called, since no process pauses here.
    }

    @Override
    public Collection<InstanceId> peers() {
      return fleet.ids;
    }

    @Override
    public void announce() {
      started = true;
      fleet.recordState();
    }
  }
}
