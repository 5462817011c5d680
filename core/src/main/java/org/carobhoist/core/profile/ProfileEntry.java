package org.carobhoist.core.profile;

import java.util.Optional;
import org.carobhoist.core.common.ProfileName;

/**
 * A profile as it stands after a fold.
 *
 * @param name its name
 * @param revision the record that made it so
 * @param changeId id of that record's change
 * @param operator who made that change
 * @param retired whether new work that names it is refused
 * @param last the profile; its last one if it is retired, for steps that began before
 * @param document the INI document of {@code last}, for snapshots and people
 */
public record ProfileEntry(
    ProfileName name,
    Revision revision,
    String changeId,
    String operator,
    boolean retired,
    Profile last,
    String document) {

  /** Returns the profile, or empty if it is retired. */
  public Optional<Profile> profile() {
    return retired ? Optional.empty() : Optional.of(last);
  }
}
