package org.carobhoist.core.membership;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.carobhoist.core.common.InstanceId;
import org.carobhoist.core.common.Zone;
import org.carobhoist.core.routing.Rendezvous;

/**
 * The sidecars of one service to which an entry keeps links, so that many entries before many
 * servers are no full mesh. The entry ranks sidecars by rendezvous hashing over both names: a quota
 * of its own availability zone, and a smaller one of the others. All entries together cover the
 * sidecars evenly, and an instance that comes or goes changes one link for few entries.
 */
public final class LinkSubset {

  private static final int NEAR = 16;
  private static final int FAR = 8;

  private static final int ENTRIES_PER_SIDECAR = 2;

  private LinkSubset() {}

  /**
   * Returns the sidecars to which an entry keeps links.
   *
   * @param self the entry
   * @param zone its availability zone
   * @param sidecars the sidecars of one service
   * @param factor multiple of the quotas, above 1 while those linked are not enough
   */
  public static Set<InstanceId> choose(
      InstanceId self, Zone zone, Collection<ListedInstance> sidecars, int factor) {
    long key = Rendezvous.key(self.value());
    Comparator<ListedInstance> rank =
        Comparator.comparingLong(i -> Rendezvous.score(key, i.instance().value()));
    List<ListedInstance> ranked = sidecars.stream().sorted(rank.reversed()).toList();
    Stream<ListedInstance> near =
        ranked.stream().filter(i -> i.zone().equals(zone)).limit((long) NEAR * factor);
    Stream<ListedInstance> far =
        ranked.stream().filter(i -> !i.zone().equals(zone)).limit((long) FAR * factor);
    Set<InstanceId> out = new HashSet<>();
    Stream.concat(near, far).forEach(i -> out.add(i.instance()));
    return out;
  }

  /**
   * Returns the sidecars to which an entry keeps links for their sake: each sidecar is owed links
   * by the two entries that rank highest for it. So a sidecar has peers for its configuration
   * however the zones of entries and sidecars are spread, also while it can't reach the log.
   *
   * @param self the entry
   * @param entries the entries that the instance list names; may lack this one
   * @param sidecars the sidecars of all services
   */
  public static Set<InstanceId> owed(
      InstanceId self, Collection<InstanceId> entries, Collection<InstanceId> sidecars) {
    return sidecars.stream()
        .filter(sidecar -> owes(self, entries, Rendezvous.key(sidecar.value())))
        .collect(Collectors.toSet());
  }

  private static boolean owes(InstanceId self, Collection<InstanceId> entries, long key) {
    long own = Rendezvous.score(key, self.value());
    long better = entries.stream().filter(e -> Rendezvous.score(key, e.value()) > own).count();
    return better < ENTRIES_PER_SIDECAR;
  }
}
