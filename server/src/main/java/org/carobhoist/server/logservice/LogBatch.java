package org.carobhoist.server.logservice;

import java.util.List;
import org.carobhoist.core.profile.LogItem;
import org.carobhoist.core.profile.LogRead;

/**
 * A read's answer.
 *
 * @param first first offset that the log still keeps
 * @param next offset that the next append will get
 * @param records the records from the offset asked for, in order; may stop before {@code next}
 */
public record LogBatch(long first, long next, List<StoredRecord> records) {

  /**
   * One record.
   *
   * @param offset its offset
   * @param timeMillis when it was appended, by the platform's clock, in milliseconds since 1970
   * @param data its bytes, which must not be changed
   */
  public record StoredRecord(long offset, long timeMillis, byte[] data) {}

  /** Returns the answer to a read from an offset, with its records decoded. */
  public LogRead toRead(long from) {
    List<LogItem> items =
        records.stream()
            .map(r -> new LogItem(r.offset(), r.timeMillis(), LogRecords.decode(r.data())))
            .toList();
    return new LogRead(from, first, next, items);
  }
}
