package org.carobhoist.core.account;

import java.util.regex.Pattern;

/**
 * Name of a client account.
 *
 * @param value the id; 1 to 128 letters, digits, dots, colons, slashes, underscores or hyphens
 */
public record AccountName(String value) implements Comparable<AccountName> {

  private static final Pattern WELL_FORMED = Pattern.compile("[A-Za-z0-9._:/-]{1,128}");

  /**
   * Validates the id.
   *
   * @throws IllegalArgumentException if the value is not a well-formed id
   */
  public AccountName {
    if (value == null || !WELL_FORMED.matcher(value).matches()) {
      throw new IllegalArgumentException("AccountName is malformed: " + value);
    }
  }

  @Override
  public int compareTo(AccountName other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
