package org.carobhoist.core.store;

import java.util.List;

/** What the store says to a read. */
public sealed interface ReadOutcome {

  /**
   * Records from the asked offset on, without gaps.
   *
   * @param end the offset after the shard's last record
   * @param records the records; none if the shard ends at the asked offset
   */
  record Batch(long end, List<StoredRecord> records) implements ReadOutcome {}

  /** The records are no longer kept one by one; only the newest of each key is. */
  record Expired() implements ReadOutcome {}
}
