package org.carobhoist.server.logservice;

import org.carobhoist.server.link.proto.LogRecord;

/**
 * Takes the log's records of other parts than the profiles: weight orders and home views. Called on
 * the decision loop, in the order of the offsets, with each offset at most once. After a gap, which
 * a snapshot closes, only the newest record of each model or service is handed over, with the
 * offset and time at which it was first appended.
 */
@FunctionalInterface
public interface RecordListener {

  /**
   * Takes a record.
   *
   * @param offset the record's offset in the log; serves as a fencing number
   * @param timeMillis when it was appended, by the platform's clock, in milliseconds since 1970
   * @param record the record, a weight order or a home view
   */
  void onRecord(long offset, long timeMillis, LogRecord record);
}
