package org.carobhoist.core.profile;

import org.carobhoist.core.common.ProfileName;

/**
 * An operator's change of a profile, as appended to the log.
 *
 * @param changeId unique id, used to find the record in the log if the response to the append is
 *     lost
 * @param kind kind of the change
 * @param profile the profile's name
 * @param base the revision of the profile on which the change is based
 * @param document the profile's new INI document; empty if the change retires the profile
 * @param operator who made the change, for the change history
 */
public record ProfileChange(
    String changeId,
    Kind kind,
    ProfileName profile,
    Revision base,
    String document,
    String operator)
    implements ConfigRecord {

  /** Kinds of changes. */
  public enum Kind {
    /** Creates a profile. */
    PUBLISH,
    /** Replaces a profile's document. */
    CHANGE,
    /** Retires a profile. */
    RETIRE
  }
}
