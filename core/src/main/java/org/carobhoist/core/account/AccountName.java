package org.carobhoist.core.account;

import java.util.regex.Pattern;

/**
 * Name of a client account. Servers receive it as a header value, so it must not contain characters
 * that a header can't carry.
 *
 * @param value the name; 1 to 100 printable ASCII characters without a space at either end
 */
public record AccountName(String value) implements Comparable<AccountName> {

  private static final Pattern WELL_FORMED = Pattern.compile("[!-~]([ -~]{0,98}[!-~])?");

  /**
   * Checks the name.
   *
   * @throws IllegalArgumentException if the value is not a well-formed name
   */
  public AccountName {
    if (value == null || !WELL_FORMED.matcher(value).matches()) {
      throw new IllegalArgumentException(
          "name of an account must be 1 to 100 printable ASCII characters");
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
