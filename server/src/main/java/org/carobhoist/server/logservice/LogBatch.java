package org.carobhoist.server.logservice;

import java.util.List;
import org.carobhoist.core.profile.LogItem;
import org.carobhoist.core.profile.LogRead;

/**
 * The records returned by a read of the log.
 *
 * @param first the oldest offset that the log still retains
 * @param next the offset that the next append will get
 * @param records the records from the requested offset on, in order; the list may end before {@code
 *     next}
 */
public record LogBatch(long first, long next, List<StoredRecord> records) {

  /**
   * A record of the log.
   *
   * @param offset the offset of the record
   * @param timeMillis when it was appended, by the platform's clock, in milliseconds since 1970
   * @param data the bytes of the record, which must not be modified
   */
  public record StoredRecord(long offset, long timeMillis, byte[] data) {}

  /** Decodes the records of this batch, which was read from the given offset. */
  public LogRead toRead(long from) {
    List<LogItem> items =
        records.stream()
            .map(r -> new LogItem(r.offset(), r.timeMillis(), LogRecords.decode(r.data())))
            .toList();
    return new LogRead(from, first, next, items);
  }
}
