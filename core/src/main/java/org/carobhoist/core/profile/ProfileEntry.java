package org.carobhoist.core.profile;

import java.util.Optional;
import org.carobhoist.core.common.ProfileName;

/**
 * State of a profile, live or retired, in the configuration.
 *
 * @param name its name
 * @param revision revision of the last accepted change
 * @param changeId id of that change
 * @param operator who made that change
 * @param retired whether new work for the profile is refused
 * @param last the profile; if retired, its last state, used by steps that began before
 * @param document the INI document of {@code last}, for snapshots and for display
 */
public record ProfileEntry(
    ProfileName name,
    Revision revision,
    String changeId,
    String operator,
    boolean retired,
    Profile last,
    String document) {

  /** Returns the profile if it is live. */
  public Optional<Profile> profile() {
    return retired ? Optional.empty() : Optional.of(last);
  }
}
