package org.carobhoist.core.profile;

import org.carobhoist.core.common.ProfileName;

/**
 * An operator's change, as appended to the log.
 *
 * @param changeId unique id, by which an append whose answer was lost is found again
 * @param kind what it does
 * @param profile the profile's name
 * @param base the profile's revision on which the change builds
 * @param document the profile's new INI document; empty when it retires
 * @param operator who made the change, for the history
 */
public record ProfileChange(
    String changeId,
    Kind kind,
    ProfileName profile,
    Revision base,
    String document,
    String operator)
    implements ConfigRecord {

  /** What a change does. */
  public enum Kind {
    /** Creates a profile. */
    PUBLISH,
    /** Replaces a profile's document. */
    CHANGE,
    /** Ends a profile. */
    RETIRE
  }
}
