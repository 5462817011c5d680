package org.carobhoist.core.store;

import java.time.Duration;
import java.util.List;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;

/** A store that ignores the conditions of appends, to test that they prevent duplicates. */
public record UnconditionalStore(RecordStore store) implements RecordStore {

  @Override
  public CompletableFuture<AppendOutcome> append(
      Shard shard, List<KeyedRecord> records, OptionalLong at) {
    return store.append(shard, records, OptionalLong.empty());
  }

  @Override
  public CompletableFuture<ReadOutcome> read(Shard shard, long from, Duration wait) {
    return store.read(shard, from, wait);
  }

  @Override
  public CompletableFuture<ReadOutcome> readUpTo(Shard shard, long from, int maxBytes) {
    return store.readUpTo(shard, from, maxBytes);
  }

  @Override
  public CompletableFuture<NewestPage> newest(Shard shard, String after) {
    return store.newest(shard, after);
  }
}
