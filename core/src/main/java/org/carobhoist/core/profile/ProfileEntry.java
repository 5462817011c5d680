package org.carobhoist.core.profile;

import java.util.Optional;

/**
 * A profile as it stands after a fold.
 *
 * @param revision the record that made it so
 * @param changeId id of that record's change
 * @param profile the profile; empty if it is retired
 * @param document its INI document, for snapshots and people
 */
public record ProfileEntry(
    Revision revision, String changeId, Optional<Profile> profile, String document) {}
