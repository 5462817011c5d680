package org.carobhoist.server.logservice;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;

/** The platform's append-only log. Another dialect is another implementation. */
public interface PlatformLog {

  /**
   * Appends a record. A failed future means that nobody knows whether it was appended.
   *
   * @return the record's offset
   */
  CompletableFuture<Long> append(byte[] record);

  /**
   * Reads records from an offset on.
   *
   * @param wait longest time to wait if there is none yet
   */
  CompletableFuture<LogBatch> read(long from, Duration wait);
}
