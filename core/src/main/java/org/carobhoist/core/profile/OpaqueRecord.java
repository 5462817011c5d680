package org.carobhoist.core.profile;

import java.nio.ByteBuffer;

/**
 * A record of another subsystem, such as a weight order, which the configuration carries without
 * interpreting it. Only one record per key is in effect, and snapshots retain only that one.
 *
 * @param key identifies the subject of the record
 * @param rank decides which record of a key is in effect: a later record replaces an earlier one of
 *     lower rank; {@link #NEWEST} if the newest record always replaces earlier ones
 * @param data the content, read-only
 */
public record OpaqueRecord(String key, long rank, ByteBuffer data) implements ConfigRecord {

  /** Rank of records that always replace earlier records of the same key. */
  public static final long NEWEST = -1;

  /** Creates a record that always replaces earlier records of its key. */
  public OpaqueRecord(String key, ByteBuffer data) {
    this(key, NEWEST, data);
  }

  /** Returns whether this record, which comes later in the log, replaces the earlier one. */
  public boolean replaces(OpaqueRecord earlier) {
    return rank == NEWEST || rank > earlier.rank;
  }
}
