package org.carobhoist.core.store;

/**
 * A record in the store.
 *
 * @param offset offset in the shard, from 0
 * @param key the key
 * @param value the value; empty for a tombstone, which deletes the key
 */
public record StoredRecord(long offset, String key, byte[] value) {

  /** Returns the size of key and value in bytes. */
  public int size() {
    return key.length() + value.length;
  }

  /** Returns whether the record is a tombstone, which deletes its key. */
  public boolean isTombstone() {
    return value.length == 0;
  }
}
