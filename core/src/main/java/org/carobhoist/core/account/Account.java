package org.carobhoist.core.account;

import java.util.List;
import java.util.OptionalInt;

/**
 * A client account as published in a manifest.
 *
 * @param name its name, unique in the manifest
 * @param keys the keys that identify its requests
 * @param priority urgency of its requests, 0 is the most urgent; empty if not stated
 */
public record Account(AccountName name, List<ApiKey> keys, OptionalInt priority) {

  /**
   * Checks the priority.
   *
   * @throws IllegalArgumentException if the priority is negative
   */
  public Account {
    keys = List.copyOf(keys);
    if (priority.isPresent() && priority.getAsInt() < 0) {
      throw new IllegalArgumentException("account " + name + " has a negative priority");
    }
  }
}
