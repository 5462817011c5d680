package org.carobhoist.core.profile;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.carobhoist.core.common.ProfileName;

/**
 * The configuration after all records up to and including an offset. Retired profiles are included;
 * otherwise a process that starts from the snapshot could accept an outdated change to one of them.
 *
 * @param through the offset; 0 for the empty log
 * @param profiles all profiles, including retired ones
 * @param opaqueRecords the record in effect for each key of other subsystems, with its original
 *     offset
 */
public record ProfileSnapshot(
    long through, List<ProfileEntry> profiles, List<LogItem> opaqueRecords)
    implements ConfigRecord {

  /** Sorts the lists, so that snapshots of equal states are equal. */
  public ProfileSnapshot {
    profiles = profiles.stream().sorted(Comparator.comparing(ProfileEntry::name)).toList();
    opaqueRecords =
        opaqueRecords.stream().sorted(Comparator.comparingLong(LogItem::offset)).toList();
  }

  /** Returns whether no element is newer than the snapshot's offset and no profile is repeated. */
  public boolean isWellFormed() {
    long names = profiles.stream().map(ProfileEntry::name).distinct().count();
    return through >= 0
        && names == profiles.size()
        && profiles.stream().allMatch(p -> p.revision().offset() <= through)
        && opaqueRecords.stream().allMatch(f -> f.offset() <= through);
  }

  /**
   * Returns whether this can be a later state of the same log. Each profile must be unchanged or
   * have a revision newer than the earlier state, and no profile of the earlier state may be
   * missing. At equal offsets the states must be equal.
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
    boolean consistent =
        profiles.stream().allMatch(p -> isUnchangedOrNewer(p, before.remove(p.name()), earlier));
    return consistent && before.isEmpty();
  }

  private static boolean isUnchangedOrNewer(
      ProfileEntry later, ProfileEntry before, ProfileSnapshot earlier) {
    return later.equals(before) || later.revision().offset() > earlier.through;
  }
}
