package org.carobhoist.core.manifest;

/**
 * A difference between two versions of a manifest.
 *
 * @param kind what happened to the entry
 * @param where the entry, such as {@code route bookings}
 * @param before its former content; empty if it was added
 * @param after its new content; empty if it was removed
 */
public record ManifestChange(Kind kind, String where, String before, String after) {

  /** Kind of a change. */
  public enum Kind {
    /** Only the new version has the entry. */
    ADDED,
    /** Only the former version has the entry. */
    REMOVED,
    /** Both versions have the entry, with different content. */
    CHANGED
  }
}
