package org.carobhoist.core.profile;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.carobhoist.core.common.ProfileName;

/**
 * The configuration after every record up to and including an offset. Retired profiles stay in it,
 * so that nobody who starts from it takes an old change to one of them for valid.
 *
 * @param through the offset; 0 for the empty log
 * @param profiles every profile, retired ones included
 * @param foreign newest record of each key of the other parts, with its first place in the log
 */
public record ProfileSnapshot(long through, List<ProfileEntry> profiles, List<LogItem> foreign)
    implements ConfigRecord {

  /** Sorts the lists, so that equal states are equal snapshots. */
  public ProfileSnapshot {
    profiles = profiles.stream().sorted(Comparator.comparing(ProfileEntry::name)).toList();
    foreign = foreign.stream().sorted(Comparator.comparingLong(LogItem::offset)).toList();
  }

  /** Returns whether no part of it is from after its own offset, and each profile stands once. */
  public boolean isWellFormed() {
    long names = profiles.stream().map(ProfileEntry::name).distinct().count();
    return through >= 0
        && names == profiles.size()
        && profiles.stream().allMatch(p -> p.revision().offset() <= through)
        && foreign.stream().allMatch(f -> f.offset() <= through);
  }

  /**
   * Returns whether it can be a later state of the same log: each profile of the earlier state is
   * in it with the same or a newer revision, and equal revisions have equal content.
   */
  public boolean isSuccessorOf(ProfileSnapshot earlier) {
    if (through < earlier.through) {
      return false;
    }
    if (through == earlier.through) {
      return equals(earlier);
    }
    Map<ProfileName, ProfileEntry> before = new TreeMap<>();
    earlier.profiles.forEach(p -> before.put(p.name(), p));
    boolean continues =
        profiles.stream().allMatch(p -> continues(p, before.remove(p.name()), earlier));
    return continues && before.isEmpty();
  }

  private static boolean continues(
      ProfileEntry later, ProfileEntry before, ProfileSnapshot earlier) {
    return later.equals(before) || later.revision().offset() > earlier.through;
  }
}
