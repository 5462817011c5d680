package org.carobhoist.core.store;

import java.util.List;

/**
 * A page of the newest records of a shard's keys. Pages of one walk are no snapshot.
 *
 * @param records the records, in the order of their keys
 * @param more whether another page follows after the last key
 * @param end the offset after the shard's last record when the page was made
 */
public record NewestPage(List<StoredRecord> records, boolean more, long end) {}
