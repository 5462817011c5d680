package org.carobhoist.core.store;

import java.util.Objects;

/**
 * A record to append.
 *
 * @param key the key, 1 to 255 bytes of ASCII
 * @param value the value; empty for a tombstone, which deletes the key
 */
public record KeyedRecord(String key, byte[] value) {

  /** Bytes of the length of the record and of the length of its key. */
  private static final int FRAMING_BYTES = 5;

  /** Returns a tombstone, a record that deletes the key. */
  public static KeyedRecord tombstone(String key) {
    return new KeyedRecord(key, new byte[0]);
  }

  /** Checks that neither component is null. */
  public KeyedRecord {
    Objects.requireNonNull(key);
    Objects.requireNonNull(value);
  }

  /** Returns the size in bytes with which the store counts the record, including its lengths. */
  public int storedSize() {
    return FRAMING_BYTES + size();
  }

  /** Returns the size of key and value in bytes. */
  public int size() {
    return key.length() + value.length;
  }
}
