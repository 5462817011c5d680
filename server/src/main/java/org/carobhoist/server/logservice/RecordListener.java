package org.carobhoist.server.logservice;

import org.carobhoist.server.link.proto.LogRecord;

/**
 * Listener for the log records that don't concern profiles: weight orders and home views. It is
 * called on the decision loop, in the order of the offsets and at most once per offset. After a
 * gap, which is closed by a snapshot, it receives only the newest record of each model or service,
 * with the offset and time at which the record was first appended.
 */
@FunctionalInterface
public interface RecordListener {

  /**
   * Called for each record.
   *
   * @param offset the offset of the record in the log; serves as a fencing token
   * @param timeMillis when it was appended, by the platform's clock, in milliseconds since 1970
   * @param record the record, a weight order or a home view
   */
  void onRecord(long offset, long timeMillis, LogRecord record);
}
