package org.carobhoist.core.membership;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.carobhoist.core.common.InstanceId;
import org.carobhoist.core.routing.Rendezvous;

/**
 * The peers to which a process keeps links as other paths to the store. They are spread over all
 * processes by a hash of both names. While the process's own path is lost, peers that don't reach
 * the store either don't count, and further ones take their place.
 */
public final class RelayPeers {

  /** Peers that are linked as paths to the store. */
  public static final int PATHS = 2;

  /**
   * Most peers that are linked, also while few of them reach the store. If the store turns half of
   * all processes away, one in some 3,900 of these finds fewer than {@link #PATHS} paths.
   */
  public static final int MOST_LINKS = 16;

  private RelayPeers() {}

  /** What is known of a peer as a path to the store. */
  public enum Path {
    /** The peer hasn't said yet whether it reaches the store. */
    UNKNOWN,
    /** The peer reaches the store. */
    OPEN,
    /** The peer is linked, and doesn't reach the store. */
    SHUT,
    /** The last try to link the peer failed. */
    NO_LINK
  }

  /** A peer that may be linked. */
  public record Candidate(InstanceId id, Path path) {}

  /**
   * Returns the peers to which links are kept. Peers that can't be linked are tried on, and don't
   * count.
   *
   * @param self the process that keeps the links
   * @param pathLost whether this process doesn't reach the store by itself
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
      if (paths == PATHS || links == MOST_LINKS) {
        break;
      }
      chosen.add(c.id());
      links += c.path() == Path.NO_LINK ? 0 : 1;
      paths += counts(c.path(), pathLost) ? 1 : 0;
    }
    return chosen;
  }

  private static boolean counts(Path path, boolean pathLost) {
    return switch (path) {
      case UNKNOWN, OPEN -> true;
      case SHUT -> !pathLost;
      case NO_LINK -> false;
    };
  }
}
