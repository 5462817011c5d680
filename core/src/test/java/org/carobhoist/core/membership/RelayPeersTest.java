package org.carobhoist.core.membership;

import static com.google.common.truth.Truth.assertThat;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;
import java.util.function.Predicate;
import java.util.stream.IntStream;
import org.carobhoist.core.common.InstanceId;
import org.junit.jupiter.api.Test;

/** Selects relay peers for each of 400 processes. */
final class RelayPeersTest {

  private static final int PROCESSES = 400;

  private final List<InstanceId> all =
      IntStream.range(0, PROCESSES).mapToObj(i -> new InstanceId("node-" + i)).toList();

  @Test
  void fewPeersAreLinkedWhileTheOwnPathIsThere() {
    for (InstanceId self : all) {
      assertThat(settled(self, false, id -> RelayPeers.Path.SHUT)).hasSize(RelayPeers.PATHS);
    }
  }

  @Test
  void processWhosePeersAreTurnedAwayTooFindsOthers() {
    Predicate<InstanceId> away = id -> number(id) % 9 < 2;
    for (InstanceId self : all.stream().filter(away).toList()) {
      Set<InstanceId> chosen = settled(self, true, id -> path(!away.test(id)));
      assertThat(chosen.stream().filter(away.negate())).hasSize(RelayPeers.PATHS);
      assertThat(chosen.size()).isAtMost(RelayPeers.MOST_LINKS);
    }
  }

  @Test
  void linksStayBoundedWhileTheStoreTurnsEveryoneAway() {
    Map<InstanceId, Integer> taken = new HashMap<>();
    for (InstanceId self : all) {
      Set<InstanceId> chosen = settled(self, true, id -> RelayPeers.Path.SHUT);
      assertThat(chosen).hasSize(RelayPeers.MOST_LINKS);
      chosen.forEach(id -> taken.merge(id, 1, Integer::sum));
    }
    assertThat(taken.values().stream().mapToInt(n -> n).max().getAsInt())
        .isLessThan(3 * RelayPeers.MOST_LINKS);
  }

  @Test
  void peersThatCantBeLinkedDontCount() {
    Predicate<InstanceId> gone = id -> number(id) % 2 == 0;
    for (InstanceId self : all) {
      Set<InstanceId> chosen =
          settled(self, false, id -> gone.test(id) ? RelayPeers.Path.NO_LINK : path(true));
      assertThat(chosen.stream().filter(gone.negate())).hasSize(RelayPeers.PATHS);
    }
  }

  private static int number(InstanceId id) {
    return Integer.parseInt(id.value().substring("node-".length()));
  }

  private static RelayPeers.Path path(boolean open) {
    return open ? RelayPeers.Path.OPEN : RelayPeers.Path.SHUT;
  }

  /** Repeats the selection until the paths of all selected peers are known. */
  private Set<InstanceId> settled(
      InstanceId self, boolean pathLost, Function<InstanceId, RelayPeers.Path> truth) {
    Set<InstanceId> known = new HashSet<>();
    Set<InstanceId> chosen = choose(self, pathLost, known, truth);
    while (known.addAll(chosen)) {
      chosen = choose(self, pathLost, known, truth);
    }
    return chosen;
  }

  private Set<InstanceId> choose(
      InstanceId self,
      boolean pathLost,
      Set<InstanceId> known,
      Function<InstanceId, RelayPeers.Path> truth) {
    List<RelayPeers.Candidate> candidates =
        all.stream()
            .filter(id -> !id.equals(self))
            .map(
                id -> candidate(id, known.contains(id) ? truth.apply(id) : RelayPeers.Path.UNKNOWN))
            .toList();
    return RelayPeers.choose(self, candidates, pathLost);
  }

  private static RelayPeers.Candidate candidate(InstanceId id, RelayPeers.Path path) {
    return new RelayPeers.Candidate(id, path);
  }
}
