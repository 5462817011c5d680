package org.carobhoist.core.profile;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.carobhoist.core.common.ProfileName;
import org.carobhoist.core.common.ServiceName;
import org.carobhoist.core.settings.SettingsException;

/**
 * The configuration as a deterministic fold over the log. Records are applied in offset order, and
 * every process rejects a change whose base isn't the current revision of the profile. Records at
 * or below the applied offset are ignored, so the fold never moves backwards.
 *
 * <p>Revisions only increase, and a retired profile keeps its revision, so a change can be accepted
 * only once: when the same record is appended again, its base is no longer current. The fold
 * therefore doesn't need to remember past changes.
 */
public final class ProfileFold {

  /** Maximum length of a profile's document in characters. */
  public static final int MAX_DOCUMENT_CHARS = 65_536;

  private final ReplicaRules rules;
  private final Map<ProfileName, ProfileEntry> entries = new TreeMap<>();
  private long appliedOffset;

  private ProfileFold(ReplicaRules rules) {
    this.rules = rules;
  }

  /** Returns the fold of an empty log. */
  public static ProfileFold create() {
    return create(ReplicaRules.STRICT);
  }

  static ProfileFold create(ReplicaRules rules) {
    return new ProfileFold(rules);
  }

  /**
   * Applies a change.
   *
   * @param offset the record's offset, from 1
   */
  public FoldOutcome apply(long offset, ProfileChange change) {
    ProfileEntry current = entries.get(change.profile());
    if (!rules.isNew(offset, appliedOffset)) {
      return outcome(FoldOutcome.Status.REPEATED, change, current, "the offset was applied before");
    }
    appliedOffset = offset;
    if (!rules.buildsOn(change, revisionOf(current))) {
      return refuse(change, current);
    }
    return accept(offset, change, current);
  }

  /** Marks the log as applied up to and including an offset, also if its records aren't changes. */
  public void advance(long offset) {
    appliedOffset = Math.max(appliedOffset, offset);
  }

  /** Returns the highest applied offset, or 0 if there is none. */
  public long appliedOffset() {
    return appliedOffset;
  }

  /** Returns the revision of the configuration, which is the newest revision of any profile. */
  public Revision revision() {
    return entries.values().stream()
        .map(ProfileEntry::revision)
        .max(Comparator.naturalOrder())
        .orElse(Revision.NONE);
  }

  /** Returns the entry of a profile, which may be retired. */
  public Optional<ProfileEntry> entry(ProfileName name) {
    return Optional.ofNullable(entries.get(name));
  }

  /** Returns all entries by name, including those of retired profiles. */
  public Map<ProfileName, ProfileEntry> entries() {
    return new TreeMap<>(entries);
  }

  /** Returns a profile if it exists and is live. */
  public Optional<Profile> profile(ProfileName name) {
    return entry(name).flatMap(ProfileEntry::profile);
  }

  /**
   * Returns a profile, or its last state if it is retired. Steps that began before the retirement
   * continue with this state; new work must use {@link #profile}.
   */
  public Optional<Profile> profileOrLast(ProfileName name) {
    return entry(name).map(ProfileEntry::last);
  }

  /** Returns the live profiles of a service, ordered by name. */
  public List<Profile> profilesOf(ServiceName service) {
    return entries.values().stream()
        .flatMap(e -> e.profile().stream())
        .filter(p -> p.service().equals(service))
        .toList();
  }

  /** Replaces the whole state; the caller must check that the snapshot isn't older. */
  void install(ProfileSnapshot snapshot) {
    entries.clear();
    snapshot.profiles().forEach(e -> entries.put(e.name(), e));
    appliedOffset = snapshot.through();
  }

  private FoldOutcome refuse(ProfileChange change, ProfileEntry current) {
    if (current != null && current.changeId().equals(change.changeId())) {
      return outcome(FoldOutcome.Status.REPEATED, change, current, "the change is in force");
    }
    String detail =
        "builds on revision " + change.base() + ", but the current is " + revisionOf(current);
    return outcome(FoldOutcome.Status.CONFLICT, change, current, detail);
  }

  private FoldOutcome accept(long offset, ProfileChange change, ProfileEntry current) {
    boolean live = current != null && !current.retired();
    if (live == (change.kind() == ProfileChange.Kind.PUBLISH)) {
      String detail = live ? "the profile exists already" : "there is no such profile";
      return outcome(FoldOutcome.Status.INVALID, change, current, detail);
    }
    ProfileEntry created;
    try {
      created = makeEntry(new Revision(offset), change, current);
    } catch (SettingsException e) {
      return outcome(FoldOutcome.Status.INVALID, change, current, e.getMessage());
    }
    entries.put(change.profile(), created);
    return outcome(FoldOutcome.Status.ACCEPTED, change, created, "");
  }

  private static ProfileEntry makeEntry(
      Revision revision, ProfileChange change, ProfileEntry current) throws SettingsException {
    boolean retired = change.kind() == ProfileChange.Kind.RETIRE;
    String document = retired ? current.document() : change.document();
    Profile profile = ProfileReader.read(change.profile(), document);
    return new ProfileEntry(
        change.profile(),
        revision,
        change.changeId(),
        change.operator(),
        retired,
        profile,
        document);
  }

  private static FoldOutcome outcome(
      FoldOutcome.Status status, ProfileChange change, ProfileEntry current, String detail) {
    return new FoldOutcome(
        status,
        change.base(),
        revisionOf(current),
        current == null ? "" : current.changeId(),
        current == null ? "" : current.operator(),
        detail);
  }

  private static Revision revisionOf(ProfileEntry entry) {
    return entry == null ? Revision.NONE : entry.revision();
  }
}
