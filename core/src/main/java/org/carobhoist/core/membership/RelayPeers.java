package org.carobhoist.core.membership;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.carobhoist.core.common.InstanceId;
import org.carobhoist.core.routing.Rendezvous;

/**
 * Selects the peers to which a process keeps links as alternative paths to the store. Hashing the
 * names of both processes distributes the links over all processes. While the process cannot reach
 * the store directly, peers that cannot reach it either are not counted as paths and further peers
 * are linked instead.
 */
public final class RelayPeers {

  /** Number of linked peers that count as paths to the store. */
  public static final int TARGET_PATHS = 2;

  /**
   * Maximum number of linked peers, even while few of them reach the store. If the store rejects
   * half of all processes, about one in 3,900 of those finds fewer than {@link #TARGET_PATHS}
   * paths.
   */
  public static final int MAX_LINKS = 16;

  private RelayPeers() {}

  /** State of a peer as a path to the store. */
  public enum Path {
    /** The peer has not reported yet whether it reaches the store. */
    UNKNOWN,
    /** The peer reaches the store. */
    OPEN,
    /** The peer is linked but doesn't reach the store. */
    SHUT,
    /** The last attempt to link the peer failed. */
    NO_LINK
  }

  /** A peer that can be selected. */
  public record Candidate(InstanceId id, Path path) {}

  /**
   * Returns the peers to which links are kept. Peers that couldn't be linked stay selected, so that
   * they are retried, but count neither as links nor as paths.
   *
   * @param self the process that keeps the links
   * @param pathLost whether this process cannot reach the store directly
   */
  public static Set<InstanceId> choose(
      InstanceId self, Collection<Candidate> candidates, boolean pathLost) {
    long key = Rendezvous.key(self.value());
    List<Candidate> ranked =
        candidates.stream()
            .sorted(Comparator.comparingLong(c -> Rendezvous.score(key, c.id().value())))
            .toList();
    Set<InstanceId> chosen = new HashSet<>();
    int links = 0;
    int paths = 0;
    for (Candidate c : ranked) {
      if (paths == TARGET_PATHS || links == MAX_LINKS) {
        break;
      }
      chosen.add(c.id());
      links += c.path() == Path.NO_LINK ? 0 : 1;
      paths += countsAsPath(c.path(), pathLost) ? 1 : 0;
    }
    return chosen;
  }

  private static boolean countsAsPath(Path path, boolean pathLost) {
    return switch (path) {
      case UNKNOWN, OPEN -> true;
      case SHUT -> !pathLost;
      case NO_LINK -> false;
    };
  }
}
