package org.carobhoist.core.common;

/**
 * Identity of an instance, stable across restarts of its processes.
 *
 * @param value the id; 1 to 128 letters, digits, dots, colons, slashes, underscores or hyphens
 */
public record InstanceId(String value) implements Comparable<InstanceId> {

  /**
   * Validates the id.
   *
   * @throws IllegalArgumentException if the value is not a well-formed id
   */
  public InstanceId {
    Ids.check("InstanceId", value);
  }

  @Override
  public int compareTo(InstanceId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
