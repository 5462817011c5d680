package org.carobhoist.core.store;

import java.util.List;

/** Result of a read. */
public sealed interface ReadOutcome {

  /**
   * Consecutive records from the requested offset on.
   *
   * @param end the offset after the shard's last record
   * @param records the records; empty if the shard ends at the requested offset
   */
  record Batch(long end, List<StoredRecord> records) implements ReadOutcome {}

  /** The requested offset has expired; of these records only the newest of each key is kept. */
  record Expired() implements ReadOutcome {}
}
