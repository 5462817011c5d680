package org.carobhoist.core.common;

/**
 * An availability zone.
 *
 * @param value the id; 1 to 128 letters, digits, dots, colons, slashes, underscores or hyphens
 */
public record Zone(String value) implements Comparable<Zone> {

  /**
   * Validates the id.
   *
   * @throws IllegalArgumentException if the value is not a well-formed id
   */
  public Zone {
    Ids.check("Zone", value);
  }

  @Override
  public int compareTo(Zone other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
