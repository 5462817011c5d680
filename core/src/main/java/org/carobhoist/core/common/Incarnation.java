package org.carobhoist.core.common;

/**
 * Identity of one run of a process; each restart gets a new one.
 *
 * @param value the id; 1 to 128 letters, digits, dots, colons, slashes, underscores or hyphens
 */
public record Incarnation(String value) implements Comparable<Incarnation> {

  /**
   * Validates the id.
   *
   * @throws IllegalArgumentException if the value is not a well-formed id
   */
  public Incarnation {
    Ids.check("Incarnation", value);
  }

  @Override
  public int compareTo(Incarnation other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
