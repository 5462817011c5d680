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
  void linksFewPeersWhileStoreIsReachableDirectly() {
    for (InstanceId self : all) {
      assertThat(finalChoice(self, false, id -> RelayPeers.Path.SHUT))
          .hasSize(RelayPeers.TARGET_PATHS);
    }
  }

  @Test
  void replacesPeersThatCannotReachStoreEither() {
    Predicate<InstanceId> rejected = id -> number(id) % 9 < 2;
    for (InstanceId self : all.stream().filter(rejected).toList()) {
      Set<InstanceId> chosen = finalChoice(self, true, id -> path(!rejected.test(id)));
      assertThat(chosen.stream().filter(rejected.negate())).hasSize(RelayPeers.TARGET_PATHS);
      assertThat(chosen.size()).isAtMost(RelayPeers.MAX_LINKS);
    }
  }

  @Test
  void boundsLinksWhileStoreRejectsAllProcesses() {
    Map<InstanceId, Integer> incomingLinks = new HashMap<>();
    for (InstanceId self : all) {
      Set<InstanceId> chosen = finalChoice(self, true, id -> RelayPeers.Path.SHUT);
      assertThat(chosen).hasSize(RelayPeers.MAX_LINKS);
      chosen.forEach(id -> incomingLinks.merge(id, 1, Integer::sum));
    }
    assertThat(incomingLinks.values().stream().mapToInt(n -> n).max().getAsInt())
        .isLessThan(3 * RelayPeers.MAX_LINKS);
  }

  @Test
  void doesNotCountPeersThatCannotBeLinked() {
    Predicate<InstanceId> unlinkable = id -> number(id) % 2 == 0;
    for (InstanceId self : all) {
      Set<InstanceId> chosen =
          finalChoice(
              self, false, id -> unlinkable.test(id) ? RelayPeers.Path.NO_LINK : path(true));
      assertThat(chosen.stream().filter(unlinkable.negate())).hasSize(RelayPeers.TARGET_PATHS);
    }
  }

  private static int number(InstanceId id) {
    return Integer.parseInt(id.value().substring("node-".length()));
  }

  private static RelayPeers.Path path(boolean open) {
    return open ? RelayPeers.Path.OPEN : RelayPeers.Path.SHUT;
  }

  /** Repeats the selection until the paths of all selected peers are known. */
  private Set<InstanceId> finalChoice(
      InstanceId self, boolean pathLost, Function<InstanceId, RelayPeers.Path> actualPath) {
    Set<InstanceId> known = new HashSet<>();
    Set<InstanceId> chosen = choose(self, pathLost, known, actualPath);
    while (known.addAll(chosen)) {
      chosen = choose(self, pathLost, known, actualPath);
    }
    return chosen;
  }

  private Set<InstanceId> choose(
      InstanceId self,
      boolean pathLost,
      Set<InstanceId> known,
      Function<InstanceId, RelayPeers.Path> actualPath) {
    List<RelayPeers.Candidate> candidates =
        all.stream()
            .filter(id -> !id.equals(self))
            .map(
                id ->
                    candidate(
                        id, known.contains(id) ? actualPath.apply(id) : RelayPeers.Path.UNKNOWN))
            .toList();
    return RelayPeers.choose(self, candidates, pathLost);
  }

  private static RelayPeers.Candidate candidate(InstanceId id, RelayPeers.Path path) {
    return new RelayPeers.Candidate(id, path);
  }
}
