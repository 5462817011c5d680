package org.carobhoist.core.store;

import java.time.Duration;
import java.util.List;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;

/**
 * The platform's store. Answers come on the decision loop; a call without an answer fails with a
 * {@link StoreException}.
 */
public interface RecordStore {

  /**
   * Appends records, all or none.
   *
   * @param at the offset at which the shard has to end, if that matters
   */
  CompletableFuture<AppendOutcome> append(Shard shard, List<KeyedRecord> records, OptionalLong at);

  /**
   * Reads records in their order.
   *
   * @param from the first offset wanted
   * @param wait how long to wait for a record if there is none
   */
  CompletableFuture<ReadOutcome> read(Shard shard, long from, Duration wait);

  /**
   * Reads records that are there, in their order.
   *
   * @param from the first offset wanted
   * @param maxBytes bytes of records that are wanted; fewer come where a bound of the call is
   *     reached, and up to two kilobytes more
   */
  CompletableFuture<ReadOutcome> readUpTo(Shard shard, long from, int maxBytes);

  /**
   * Reads the newest record of each key.
   *
   * @param after the key after which to go on; empty for the first page
   */
  CompletableFuture<NewestPage> newest(Shard shard, String after);
}
