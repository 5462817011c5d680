package org.carobhoist.core.routing;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import org.carobhoist.core.capacity.CapacityPolicy;
import org.carobhoist.core.capacity.CapacityTable;
import org.carobhoist.core.common.EndpointKind;
import org.carobhoist.core.common.InstanceId;
import org.carobhoist.core.common.ServiceName;
import org.carobhoist.core.common.WeightVersion;
import org.carobhoist.core.common.Zone;
import org.carobhoist.core.testing.ManualClock;
import org.junit.jupiter.api.Test;

final class RouterTest {

  private static final long SEED = 4_200;
  private static final ServiceName SERVICE = new ServiceName("horno-lm");
  private static final Zone ZONE_A = new Zone("centro-a");
  private static final Zone ZONE_B = new Zone("centro-b");
  private static final double MAX_IMBALANCE = 1.25;
  private static final RouterPolicy POLICY = RouterPolicy.DEFAULT;

  private final ManualClock clock = new ManualClock();
  private final Router router = Router.create(new SplittableRandom(SEED), clock, POLICY);

  @Test
  void staysInZoneUntilItsEndpointIsFullOrClearlyMoreLoaded() {
    List<EndpointView> endpoints = List.of(view("a1", ZONE_A, 3), view("b1", ZONE_B, 2));
    assertThat(choose(endpoints, ZONE_A)).isEqualTo("a1");
    List<EndpointView> crowded = List.of(view("a1", ZONE_A, 3), view("b1", ZONE_B, 0));
    assertThat(choose(crowded, ZONE_A)).isEqualTo("b1");

    List<EndpointView> full = List.of(view("a1", ZONE_A, 4), view("b1", ZONE_B, 3));
    assertThat(choose(full, ZONE_A)).isEqualTo("b1");
  }

  /** Guards against a zone rule that keeps requests at an endpoint that is far slower. */
  @Test
  void leavesZoneIfItsEndpointTakesFarLonger() {
    CapacityTable capacities = CapacityTable.create(CapacityPolicy.DEFAULT, clock);
    Router measured = Router.create(new SplittableRandom(SEED), clock, POLICY, capacities);
    List<EndpointView> endpoints = List.of(view("a1", ZONE_A, 0), view("b1", ZONE_B, 0));
    RouteQuery query = new RouteQuery(SERVICE, ZONE_A, Set.of(), 0);
    for (long millis : new long[] {50, 75, 150}) {
      for (int i = 0; i < 20; i++) {
        clock.advance(Duration.ofMillis(200));
        capacities.onLatency(new InstanceId("a1"), 1, 1, 4, Duration.ofMillis(millis));
        capacities.onLatency(new InstanceId("b1"), 1, 1, 4, Duration.ofMillis(50));
      }
      String expected = millis > 100 ? "b1" : "a1";
      assertThat(measured.choose(query, endpoints).get().instance().value()).isEqualTo(expected);
    }
  }

  @Test
  void choosesLessLoadedOfTwoEndpoints() {
    List<EndpointView> endpoints = List.of(view("a1", ZONE_A, 3), view("a2", ZONE_A, 1));
    for (int i = 0; i < 20; i++) {
      assertThat(choose(endpoints, ZONE_A)).isEqualTo("a2");
    }
  }

  @Test
  void neverChoosesUnusableOrExcludedEndpoint() {
    EndpointView leaving = view("a1", ZONE_A, 0, false);
    List<EndpointView> endpoints = List.of(leaving, view("a2", ZONE_A, 0), view("b1", ZONE_B, 0));
    RouteQuery query = new RouteQuery(SERVICE, ZONE_A, Set.of(new InstanceId("a2")), 0);
    for (int i = 0; i < 20; i++) {
      assertThat(router.choose(query, endpoints).get().instance().value()).isEqualTo("b1");
    }
  }

  @Test
  void sendsPromptsWithSamePrefixToSameEndpoint() {
    List<EndpointView> endpoints = idleEndpoints(8);
    String context = "studio rules ".repeat(100);
    PromptPrefix one = PromptPrefix.of(context + "is bench 7 free?");
    PromptPrefix other = PromptPrefix.of(context + "when does the kiln cool?");
    assertThat(one).isEqualTo(other);

    String first = chooseByPrefix(one, endpoints);
    clock.advance(Duration.ofMinutes(1));
    assertThat(chooseByPrefix(other, endpoints)).isEqualTo(first);
  }

  @Test
  void movesOnlyPrefixesOfRemovedEndpoint() {
    List<EndpointView> all = idleEndpoints(8);
    List<EndpointView> fewer = all.subList(0, 7);
    int moved = 0;
    for (long key = 1; key <= 400; key++) {
      String before = chooseByPrefix(new PromptPrefix(List.of(key)), all);
      clock.advance(Duration.ofMinutes(5));
      String after = chooseByPrefix(new PromptPrefix(List.of(key)), fewer);
      clock.advance(Duration.ofMinutes(5));
      if (!before.equals("e7")) {
        assertThat(after).isEqualTo(before);
      } else {
        moved++;
      }
    }
    assertThat(moved).isGreaterThan(0);
  }

  @Test
  void boundsTheImbalanceOfOneHotPrefix() {
    List<EndpointView> endpoints = idleEndpoints(8);
    Map<String, Integer> counts = new HashMap<>();
    for (int i = 0; i < 4_000; i++) {
      clock.advance(Duration.ofMillis(5));
      counts.merge(chooseByPrefix(new PromptPrefix(List.of(7L)), endpoints), 1, Integer::sum);
    }
    double mean = 4_000 / 8.0;
    assertThat(Collections.max(counts.values()) / mean).isAtMost(MAX_IMBALANCE);
  }

  @Test
  void ejectsFailingEndpointAndReinstatesItAfterProbe() {
    List<EndpointView> endpoints = idleEndpoints(3);
    reportFailures("e0", POLICY.failuresToEject());
    assertThat(distinctChoices(endpoints, 50)).containsExactly("e1", "e2");

    clock.advance(POLICY.ejectionTime());
    List<String> probes = new ArrayList<>(chooseRepeatedly(endpoints, 50));
    probes.removeIf(e -> !e.equals("e0"));
    assertThat(probes).hasSize(1);

    router.onSuccess(SERVICE, new InstanceId("e0"), Duration.ofMillis(10));
    assertThat(distinctChoices(endpoints, 50)).contains("e0");
  }

  @Test
  void ejectsForTwiceAsLongAfterFailedProbe() {
    reportFailures("e0", POLICY.failuresToEject());
    clock.advance(POLICY.ejectionTime());
    reportFailures("e0", 1);

    clock.advance(POLICY.ejectionTime());
    List<EndpointView> endpoints = idleEndpoints(3);
    assertThat(distinctChoices(endpoints, 50)).doesNotContain("e0");
    clock.advance(POLICY.ejectionTime());
    assertThat(distinctChoices(endpoints, 50)).contains("e0");
  }

  @Test
  void ejectsNoMoreThanTheAllowedShare() {
    for (int i = 0; i < 6; i++) {
      reportFailures("e" + i, POLICY.failuresToEject());
    }
    List<EndpointView> endpoints = idleEndpoints(6);
    assertThat(router.ejected(SERVICE, endpoints)).hasSize(2);
    assertThat(distinctChoices(endpoints, 200)).hasSize(4);
  }

  @Test
  void ejectsEndpointThatIsFarSlowerThanItsPeers() {
    List<EndpointView> endpoints = idleEndpoints(4);
    for (int i = 0; i < 20; i++) {
      for (EndpointView e : endpoints) {
        long millis = e.instance().value().equals("e2") ? 200 : 20;
        router.onSuccess(SERVICE, e.instance(), Duration.ofMillis(millis));
      }
    }
    assertThat(distinctChoices(endpoints, 50)).containsExactly("e0", "e1", "e3");
  }

  private void reportFailures(String endpoint, int times) {
    for (int i = 0; i < times; i++) {
      router.onFailure(SERVICE, new InstanceId(endpoint));
    }
  }

  private Set<String> distinctChoices(List<EndpointView> endpoints, int times) {
    return new HashSet<>(chooseRepeatedly(endpoints, times));
  }

  private List<String> chooseRepeatedly(List<EndpointView> endpoints, int times) {
    List<String> out = new ArrayList<>();
    for (int i = 0; i < times; i++) {
      out.add(choose(endpoints, ZONE_A));
    }
    return out;
  }

  private String choose(List<EndpointView> endpoints, Zone zone) {
    RouteQuery query = new RouteQuery(SERVICE, zone, Set.of(), 0);
    return router.choose(query, endpoints).get().instance().value();
  }

  private String chooseByPrefix(PromptPrefix prefix, List<EndpointView> endpoints) {
    RouteQuery query = new RouteQuery(SERVICE, ZONE_A, Set.of(), prefix);
    return router.choose(query, endpoints).get().instance().value();
  }

  private static List<EndpointView> idleEndpoints(int count) {
    List<EndpointView> out = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      out.add(view("e" + i, ZONE_A, 0));
    }
    return out;
  }

  private static EndpointView view(String id, Zone zone, int load) {
    return view(id, zone, load, true);
  }

  private static EndpointView view(String id, Zone zone, int load, boolean usable) {
    return new EndpointView(
        new InstanceId(id),
        SERVICE,
        EndpointKind.ENGINE,
        zone,
        usable,
        load,
        load,
        4,
        new WeightVersion(1));
  }
}
