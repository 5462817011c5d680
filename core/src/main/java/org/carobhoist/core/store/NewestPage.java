package org.carobhoist.core.store;

import java.util.List;

/**
 * A page of a scan over the newest record of each key of a shard. The pages of a scan don't form a
 * consistent snapshot, because records may be appended between them.
 *
 * @param records the records, ordered by key
 * @param more whether another page follows after the last key
 * @param end the offset after the shard's last record at the time of this page
 */
public record NewestPage(List<StoredRecord> records, boolean more, long end) {

  /**
   * Returns the key after which the next page begins.
   *
   * @throws IndexOutOfBoundsException if the page has no records
   */
  public String lastKey() {
    return records.get(records.size() - 1).key();
  }
}
