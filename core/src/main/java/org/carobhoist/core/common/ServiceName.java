package org.carobhoist.core.common;

/**
 * A service that callers reach: a model or a plain service.
 *
 * @param value the id; 1 to 128 letters, digits, dots, colons, slashes, underscores or hyphens
 */
public record ServiceName(String value) implements Comparable<ServiceName> {

  /**
   * Checks the id.
   *
   * @throws IllegalArgumentException if the value is not a well-formed id
   */
  public ServiceName {
    Ids.check("ServiceName", value);
  }

  @Override
  public int compareTo(ServiceName other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
