package org.carobhoist.core.common;

/**
 * Identity of a caller's request, unique across all instances.
 *
 * @param value the id; 1 to 128 letters, digits, dots, colons, slashes, underscores or hyphens
 */
public record RequestId(String value) implements Comparable<RequestId> {

  /**
   * Validates the id.
   *
   * @throws IllegalArgumentException if the value is not a well-formed id
   */
  public RequestId {
    Ids.check("RequestId", value);
  }

  @Override
  public int compareTo(RequestId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
