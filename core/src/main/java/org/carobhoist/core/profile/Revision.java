package org.carobhoist.core.profile;

/**
 * Revision of a profile or of the whole configuration: the offset of the log record that created
 * it.
 *
 * @param offset the offset, from 1; 0 before the first record
 */
public record Revision(long offset) implements Comparable<Revision> {

  /** The revision of a profile that doesn't exist. */
  public static final Revision NONE = new Revision(0);

  /**
   * Validates the offset.
   *
   * @throws IllegalArgumentException if the offset is negative
   */
  public Revision {
    if (offset < 0) {
      throw new IllegalArgumentException("revision is negative: " + offset);
    }
  }

  @Override
  public int compareTo(Revision other) {
    return Long.compare(offset, other.offset);
  }

  @Override
  public String toString() {
    return Long.toString(offset);
  }
}
