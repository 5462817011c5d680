package org.carobhoist.core.store;

/**
 * A record as the store holds it.
 *
 * @param offset its position in the shard, from 0
 * @param key the key
 * @param value the value; empty if the record drops the key
 */
public record StoredRecord(long offset, String key, byte[] value) {

  /** Returns the bytes of key and value together. */
  public int size() {
    return key.length() + value.length;
  }

  /** Returns whether the record drops its key. */
  public boolean isDrop() {
    return value.length == 0;
  }
}
