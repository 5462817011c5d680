package org.carobhoist.core.common;

/**
 * Name of a service that callers can address: a model or another service.
 *
 * @param value the id; 1 to 128 letters, digits, dots, colons, slashes, underscores or hyphens
 */
public record ServiceName(String value) implements Comparable<ServiceName> {

  /**
   * Validates the id.
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
