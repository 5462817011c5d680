package org.carobhoist.core.profile;

import java.nio.ByteBuffer;

/**
 * A record of another part of the system, such as a weight order. Only the one in force of each key
 * matters, so snapshots keep just that.
 *
 * @param key what the record is about
 * @param rank which of a key's records is in force: one of a higher rank replaces one of a lower
 *     rank; {@link #NEWEST} if the newest one always counts
 * @param data its bytes, read-only
 */
public record ForeignRecord(String key, long rank, ByteBuffer data) implements ConfigRecord {

  /** The rank of records of which the newest one is in force. */
  public static final long NEWEST = -1;

  /** Creates a record of which the newest one of its key is in force. */
  public ForeignRecord(String key, ByteBuffer data) {
    this(key, NEWEST, data);
  }

  /**
   * Returns whether this record, which comes later in the log, puts the earlier one out of force.
   */
  public boolean replaces(ForeignRecord earlier) {
    return rank == NEWEST || rank > earlier.rank;
  }
}
