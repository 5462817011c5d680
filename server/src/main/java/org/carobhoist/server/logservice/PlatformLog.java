package org.carobhoist.server.logservice;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;

/** Client of the platform's append-only log. There is one implementation per protocol. */
public interface PlatformLog {

  /**
   * Appends a record. If the future fails, it is unknown whether the record was appended.
   *
   * @return the record's offset
   */
  CompletableFuture<Long> append(byte[] record);

  /**
   * Reads the records from an offset on.
   *
   * @param wait maximum time to wait if there is no record yet
   */
  CompletableFuture<LogBatch> read(long from, Duration wait);
}
