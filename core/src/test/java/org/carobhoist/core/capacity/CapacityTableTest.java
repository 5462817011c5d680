package org.carobhoist.core.capacity;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import org.carobhoist.core.common.InstanceId;
import org.carobhoist.core.testing.ManualClock;
import org.junit.jupiter.api.Test;

/** What processes know of several endpoints, from their own samples and from the coordinator. */
final class CapacityTableTest {

  private static final int SLOTS = 4;
  private static final Duration PERIOD = Duration.ofMillis(200);
  private static final InstanceId FAST = new InstanceId("fast");
  private static final InstanceId OTHER = new InstanceId("other");
  private static final InstanceId NEW = new InstanceId("new");

  private final ManualClock clock = new ManualClock();
  private final CapacityTable table = CapacityTable.create(CapacityPolicy.DEFAULT, clock);
  private final CapacityAggregator aggregator =
      CapacityAggregator.create(CapacityPolicy.DEFAULT, clock);

  /** Guards against avoiding every endpoint, or one without samples, when all become slow. */
  @Test
  void noneIsAvoidedWhenAllBecomeSlow() {
    run(10, 50, 50);
    run(3, 200, 200);
    assertThat(isClearlyFaster(FAST, OTHER)).isFalse();
    assertThat(isClearlyFaster(OTHER, FAST)).isFalse();
    assertThat(isClearlyFaster(FAST, NEW)).isFalse();
    assertThat(isClearlyFaster(NEW, FAST)).isFalse();
  }

  /** Guards against a choice by chance while both endpoints are idle. */
  @Test
  void slowEndpointIsClearlySlowerAtNoLoad() {
    run(3, 50, 100);
    assertThat(isClearlyFaster(FAST, OTHER)).isTrue();
  }

  /** Guards against an endpoint that attracts requests by reporting that it is idle. */
  @Test
  void reportedLowLoadDoesNotHideSlowEndpoint() {
    for (int i = 0; i < 20; i++) {
      step(50, 200);
      table.onServerLoad(OTHER, new ServerLoad(0, 0, 0));
    }
    assertThat(isClearlyFaster(FAST, OTHER)).isTrue();
  }

  /** Guards against an endpoint that escapes all requests by reporting a high load. */
  @Test
  void reportedHighLoadIsIgnoredIfLatenciesContradictIt() {
    for (int i = 0; i < 20; i++) {
      clock.advance(PERIOD);
      table.onServerLoad(OTHER, new ServerLoad(100, 100, 0));
      table.onLatency(FAST, 1, 1, SLOTS, Duration.ofMillis(50));
      table.onLatency(OTHER, 1, 201, SLOTS, Duration.ofMillis(50));
    }
    double neutral = table.neutralNanos(List.of(FAST, OTHER));
    double expected = table.expectedNanos(OTHER, 0, 200, SLOTS, neutral);
    assertThat(expected / 1e6).isWithin(10).of(50);
  }

  /** Guards against a load report that is believed long after the endpoint sent it. */
  @Test
  void reportedTimeFactorCountsAtOnceAndIsForgottenSoon() {
    run(5, 50, 50);
    table.onServerLoad(OTHER, new ServerLoad(0, 0, 1));
    table.onServerLoad(OTHER, new ServerLoad(0, 0, 3));
    assertThat(isClearlyFaster(FAST, OTHER)).isTrue();
    clock.advance(Duration.ofSeconds(1));
    assertThat(isClearlyFaster(FAST, OTHER)).isFalse();
  }

  /** Guards against an endpoint that attracts requests with a constant false time factor. */
  @Test
  void constantFalseTimeFactorHasNoEffect() {
    for (int i = 0; i < 60; i++) {
      step(50, 100);
      table.onServerLoad(OTHER, new ServerLoad(0, 0, 0.1));
    }
    assertThat(isClearlyFaster(FAST, OTHER)).isTrue();
  }

  /** Guards against gateways that see too few samples of their own to tell endpoints apart. */
  @Test
  void mergedSamplesReachGatewayWithoutAny() {
    for (int i = 0; i < 10; i++) {
      clock.advance(PERIOD);
      report(i % 7, FAST, LatencySums.ofLatency(1, Duration.ofMillis(50)));
      report(i % 7, OTHER, LatencySums.ofLatency(1, Duration.ofMillis(150)));
    }
    table.onShared(aggregator.takeChanges(8));
    assertThat(isClearlyFaster(FAST, OTHER)).isTrue();
    assertThat(isClearlyFaster(FAST, NEW)).isFalse();
    assertThat(aggregator.takeChanges(8)).isEmpty();
    clock.advance(Duration.ofSeconds(10));
    assertThat(isClearlyFaster(FAST, OTHER)).isFalse();
    assertThat(aggregator.takeChanges(8).get(OTHER).latency()).isEqualTo(Duration.ZERO);
  }

  /** Guards against failures that each gateway has to find out for itself. */
  @Test
  void endpointThatFailsForSeveralGatewaysIsAvoidedByAll() {
    run(5, 50, 50);
    for (int i = 0; i < 5; i++) {
      clock.advance(PERIOD);
      report(1, OTHER, LatencySums.ofFailure());
    }
    assertThat(aggregator.takeChanges(8)).isEmpty();
    report(2, OTHER, LatencySums.ofFailure());
    Map<InstanceId, CapacityEstimate> changes = aggregator.takeChanges(8);
    assertThat(changes.get(OTHER).isFailing()).isTrue();
    table.onShared(changes);
    assertThat(isClearlyFaster(FAST, OTHER)).isTrue();
  }

  /** Guards against reports that grow with the number of endpoints, and against lost sums. */
  @Test
  void takesFailuresFirstAndKeepsTheRest() {
    table.onLatency(FAST, 1, 1, SLOTS, Duration.ofMillis(50));
    table.onLatency(FAST, 3, 3, SLOTS, Duration.ofMillis(70));
    table.onFailure(OTHER, SLOTS);
    assertThat(table.takeSums(1).keySet()).containsExactly(OTHER);
    assertThat(table.takeSums(1))
        .containsExactly(
            FAST, new LatencySums(2, 2, Duration.ofMillis(120), Duration.ofMillis(50), 0));
    assertThat(table.takeSums(1)).isEmpty();
  }

  private void report(int gateway, InstanceId endpoint, LatencySums sums) {
    aggregator.onSums(new InstanceId("gateway-" + gateway), endpoint, sums, SLOTS);
  }

  private void run(double seconds, long fastMillis, long otherMillis) {
    for (int i = 0; i < seconds * 5; i++) {
      step(fastMillis, otherMillis);
    }
  }

  private void step(long fastMillis, long otherMillis) {
    clock.advance(PERIOD);
    table.onLatency(FAST, 1, 1, SLOTS, Duration.ofMillis(fastMillis));
    table.onLatency(OTHER, 1, 1, SLOTS, Duration.ofMillis(otherMillis));
  }

  private boolean isClearlyFaster(InstanceId a, InstanceId b) {
    double neutral = table.neutralNanos(List.of(FAST, OTHER, NEW));
    return table.order().isClearlyFaster(option(a, neutral), option(b, neutral));
  }

  private ExpectedTimeOrder.Option option(InstanceId endpoint, double neutral) {
    return new ExpectedTimeOrder.Option(table.expectedNanos(endpoint, 0, 0, SLOTS, neutral), 0);
  }
}
