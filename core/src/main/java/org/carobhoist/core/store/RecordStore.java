package org.carobhoist.core.store;

import java.time.Duration;
import java.util.List;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;

/**
 * Client of the platform's record store. Futures complete on the event loop thread; a call without
 * a response fails with a {@link StoreException}.
 */
public interface RecordStore {

  /**
   * Appends records atomically, all or none.
   *
   * @param at the expected end of the shard; empty for an unconditional append
   */
  CompletableFuture<AppendOutcome> append(Shard shard, List<KeyedRecord> records, OptionalLong at);

  /**
   * Reads records in order of their offsets.
   *
   * @param from the first offset to read
   * @param wait how long to wait for a record if there is none yet (long poll)
   */
  CompletableFuture<ReadOutcome> read(Shard shard, long from, Duration wait);

  /**
   * Reads existing records in order of their offsets, without waiting for more.
   *
   * @param from the first offset to read
   * @param maxBytes approximate limit for the size of the records; the result may be up to two
   *     kilobytes larger, and is smaller if a limit of the call is reached
   */
  CompletableFuture<ReadOutcome> readUpTo(Shard shard, long from, int maxBytes);

  /**
   * Reads a page of the newest record of each key.
   *
   * @param after the last key of the previous page; empty for the first page
   */
  CompletableFuture<NewestPage> newest(Shard shard, String after);
}
