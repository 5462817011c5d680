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
 * Selects the sidecars to which an entry keeps links, so that large deployments don't need a full
 * mesh. The entry ranks the sidecars of a service by rendezvous hashing over the names of entry and
 * sidecar, and links to a quota of sidecars in its own availability zone and a smaller quota in
 * other zones. All entries together cover the sidecars evenly, and adding or removing an instance
 * changes one link each at a few entries.
 */
public final class LinkSubset {

  private static final int SAME_ZONE_LINKS = 16;
  private static final int OTHER_ZONE_LINKS = 8;

  private static final int ENTRIES_PER_SIDECAR = 2;

  private LinkSubset() {}

  /**
   * Returns the sidecars to which an entry keeps links.
   *
   * @param self the entry
   * @param zone its availability zone
   * @param sidecars the sidecars of one service
   * @param factor multiplier of the quotas, above 1 while the linked sidecars are insufficient
   */
  public static Set<InstanceId> choose(
      InstanceId self, Zone zone, Collection<ListedInstance> sidecars, int factor) {
    long key = Rendezvous.key(self.value());
    Comparator<ListedInstance> rank =
        Comparator.comparingLong(i -> Rendezvous.score(key, i.instance().value()));
    List<ListedInstance> ranked = sidecars.stream().sorted(rank.reversed()).toList();
    Stream<ListedInstance> sameZone =
        ranked.stream().filter(i -> i.zone().equals(zone)).limit((long) SAME_ZONE_LINKS * factor);
    Stream<ListedInstance> otherZones =
        ranked.stream().filter(i -> !i.zone().equals(zone)).limit((long) OTHER_ZONE_LINKS * factor);
    Set<InstanceId> chosen = new HashSet<>();
    Stream.concat(sameZone, otherZones).forEach(i -> chosen.add(i.instance()));
    return chosen;
  }

  /**
   * Returns the sidecars to which an entry must keep links regardless of the quotas: each sidecar
   * is linked by the two entries that rank highest for it. This gives a sidecar peers from which it
   * can get its configuration even while it cannot reach the log, however entries and sidecars are
   * distributed over availability zones.
   *
   * @param self the entry
   * @param entries the entries in the instance list; may not include this one
   * @param sidecars the sidecars of all services
   */
  public static Set<InstanceId> assigned(
      InstanceId self, Collection<InstanceId> entries, Collection<InstanceId> sidecars) {
    return sidecars.stream()
        .filter(sidecar -> isAssigned(self, entries, Rendezvous.key(sidecar.value())))
        .collect(Collectors.toSet());
  }

  private static boolean isAssigned(InstanceId self, Collection<InstanceId> entries, long key) {
    long ownScore = Rendezvous.score(key, self.value());
    long higherRanked =
        entries.stream().filter(e -> Rendezvous.score(key, e.value()) > ownScore).count();
    return higherRanked < ENTRIES_PER_SIDECAR;
  }
}
