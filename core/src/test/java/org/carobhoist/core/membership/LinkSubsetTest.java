package org.carobhoist.core.membership;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.carobhoist.core.common.InstanceId;
import org.carobhoist.core.common.Zone;
import org.junit.jupiter.api.Test;

/** Links of 400 entries to 600 sidecars in seven availability zones. */
final class LinkSubsetTest {

  private static final int ENTRIES = 400;
  private static final int SIDECARS = 600;
  private static final int ZONES = 7;
  private static final int LINKS_PER_ENTRY = 24;

  private final List<ListedInstance> sidecars = new ArrayList<>();

  LinkSubsetTest() {
    for (int i = 0; i < SIDECARS; i++) {
      sidecars.add(
          new ListedInstance(new InstanceId("engine-" + i), "sidecar", zone(i), "", 1, false));
    }
  }

  @Test
  void everySidecarIsLinkedBySeveralEntries() {
    Map<InstanceId, Integer> counts = new HashMap<>();
    for (int i = 0; i < ENTRIES; i++) {
      Set<InstanceId> chosen = choose(i, sidecars);
      assertThat(chosen).hasSize(LINKS_PER_ENTRY);
      chosen.forEach(id -> counts.merge(id, 1, Integer::sum));
    }
    assertThat(counts).hasSize(SIDECARS);
    assertThat(Collections.min(counts.values())).isAtLeast(2);
  }

  @Test
  void assignsTwoEntriesToEverySidecarRegardlessOfZones() {
    List<InstanceId> entries = new ArrayList<>();
    for (int i = 0; i < ENTRIES; i++) {
      entries.add(new InstanceId("entry-" + i));
    }
    List<InstanceId> all = sidecars.stream().map(ListedInstance::instance).toList();
    Map<InstanceId, Integer> counts = new HashMap<>();
    for (InstanceId entry : entries) {
      LinkSubset.assigned(entry, entries, all).forEach(id -> counts.merge(id, 1, Integer::sum));
    }
    assertThat(counts).hasSize(SIDECARS);
    assertThat(new HashSet<>(counts.values())).containsExactly(2);
  }

  @Test
  void replacesOnlyRemovedSidecar() {
    List<ListedInstance> remaining = sidecars.subList(1, SIDECARS);
    for (int i = 0; i < ENTRIES; i++) {
      Set<InstanceId> dropped = new HashSet<>(choose(i, sidecars));
      dropped.removeAll(choose(i, remaining));
      assertThat(dropped.size()).isAtMost(1);
    }
  }

  private static Set<InstanceId> choose(int entry, List<ListedInstance> from) {
    return LinkSubset.choose(new InstanceId("entry-" + entry), zone(entry), from, 1);
  }

  private static Zone zone(int number) {
    return new Zone("zone-" + number % ZONES);
  }
}
