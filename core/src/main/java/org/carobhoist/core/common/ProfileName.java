package org.carobhoist.core.common;

/**
 * Name of a profile.
 *
 * @param value the id; 1 to 128 letters, digits, dots, colons, slashes, underscores or hyphens
 */
public record ProfileName(String value) implements Comparable<ProfileName> {

  /**
   * Validates the id.
   *
   * @throws IllegalArgumentException if the value is not a well-formed id
   */
  public ProfileName {
    Ids.check("ProfileName", value);
  }

  @Override
  public int compareTo(ProfileName other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
