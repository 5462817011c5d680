package org.carobhoist.core.profile;

import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.carobhoist.core.common.ProfileName;
import org.carobhoist.core.common.ServiceName;
import org.carobhoist.core.settings.SettingsException;

/**
 * The configuration as a deterministic fold over the log. Records are applied in the order of their
 * offsets; a record whose base isn't the profile's current revision is void for every process
 * alike. A record at or below an offset that has been applied is ignored, so the fold never goes
 * back.
 */
public final class ProfileFold {

  private final Map<ProfileName, ProfileEntry> entries = new TreeMap<>();
  private final Set<String> seenChanges = new HashSet<>();
  private long appliedOffset;

  private ProfileFold() {}

  /** Returns the fold of an empty log. */
  public static ProfileFold create() {
    return new ProfileFold();
  }

  /**
   * Applies a record.
   *
   * @param offset the record's offset, from 1
   */
  public FoldOutcome apply(long offset, ProfileChange change) {
    ProfileEntry current = entries.get(change.profile());
    Revision at = current == null ? Revision.NONE : current.revision();
    String winner = current == null ? "" : current.changeId();
    if (offset <= appliedOffset || !seenChanges.add(change.changeId())) {
      return new FoldOutcome(FoldOutcome.Status.REPEATED, at, winner, "seen before");
    }
    appliedOffset = offset;
    if (!change.base().equals(at)) {
      String detail = "builds on revision " + change.base() + ", current is " + at;
      return new FoldOutcome(FoldOutcome.Status.CONFLICT, at, winner, detail);
    }
    return accept(new Revision(offset), change, at, winner);
  }

  /** Notes that the log has been read up to an offset, whatever stood there. */
  public void advance(long offset) {
    appliedOffset = Math.max(appliedOffset, offset);
  }

  /** Returns the highest offset applied; 0 at the start. */
  public long appliedOffset() {
    return appliedOffset;
  }

  /** Returns the configuration's revision: the newest of any profile. */
  public Revision revision() {
    return entries.values().stream()
        .map(ProfileEntry::revision)
        .max(Comparator.naturalOrder())
        .orElse(Revision.NONE);
  }

  /** Returns what is known of a profile, retired ones included. */
  public Optional<ProfileEntry> entry(ProfileName name) {
    return Optional.ofNullable(entries.get(name));
  }

  /** Returns every profile, retired ones included, by name. */
  public Map<ProfileName, ProfileEntry> entries() {
    return Map.copyOf(entries);
  }

  /** Returns a live profile. */
  public Optional<Profile> profile(ProfileName name) {
    return entry(name).flatMap(ProfileEntry::profile);
  }

  /** Returns the live profiles of a service, by name. */
  public List<Profile> profilesOf(ServiceName service) {
    return entries.values().stream()
        .flatMap(e -> e.profile().stream())
        .filter(p -> p.service().equals(service))
        .toList();
  }

  private FoldOutcome accept(Revision made, ProfileChange change, Revision at, String winner) {
    Optional<Profile> profile = Optional.empty();
    if (change.kind() != ProfileChange.Kind.RETIRE) {
      try {
        profile = Optional.of(ProfileReader.read(change.profile(), change.document()));
      } catch (SettingsException e) {
        return new FoldOutcome(FoldOutcome.Status.INVALID, at, winner, e.getMessage());
      }
    }
    String id = change.changeId();
    entries.put(change.profile(), new ProfileEntry(made, id, profile, change.document()));
    return new FoldOutcome(FoldOutcome.Status.ACCEPTED, made, id, "");
  }
}
