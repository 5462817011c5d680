package org.carobhoist.core.store;

import java.util.Objects;

/**
 * A record to append.
 *
 * @param key the key, 1 to 255 bytes of ASCII
 * @param value the value; empty drops the key
 */
public record KeyedRecord(String key, byte[] value) {

  /** Returns a record that drops the key. */
  public static KeyedRecord drop(String key) {
    return new KeyedRecord(key, new byte[0]);
  }

  /** Checks that neither part is missing. */
  public KeyedRecord {
    Objects.requireNonNull(key);
    Objects.requireNonNull(value);
  }

  /** Returns the bytes of key and value together. */
  public int size() {
    return key.length() + value.length;
  }
}
