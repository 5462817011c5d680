package org.carobhoist.core.job;

import static com.google.common.truth.Truth.assertThat;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.carobhoist.core.store.AppendOutcome;
import org.carobhoist.core.store.KeyedRecord;
import org.carobhoist.core.store.NewestPage;
import org.carobhoist.core.store.ReadOutcome;
import org.carobhoist.core.store.RecordStore;
import org.carobhoist.core.store.Shard;
import org.carobhoist.core.store.StoreException;
import org.carobhoist.core.testing.EventQueue;
import org.carobhoist.core.testing.ManualClock;
import org.junit.jupiter.api.Test;

final class RefusedEntryTest {

  private static final int MAX_RECORD_BYTES = 50_000;

  private final ManualClock clock = new ManualClock();
  private final EventQueue queue = new EventQueue(clock);
  private final ResultEntries entries =
      ResultEntries.create(
          new LimitedStore(),
          List.of(new Shard("texts", 0)),
          queue::schedule,
          clock,
          read -> {},
          "writer");

  /** A store that refuses each append with a record that is too large. */
  private static final class LimitedStore implements RecordStore {

    @Override
    public CompletableFuture<AppendOutcome> append(
        Shard shard, List<KeyedRecord> records, OptionalLong at) {
      return records.stream().allMatch(r -> r.value().length <= MAX_RECORD_BYTES)
          ? CompletableFuture.completedFuture(new AppendOutcome.Appended(0))
          : CompletableFuture.failedFuture(StoreException.notRun("the store answered 413"));
    }

    @Override
    public CompletableFuture<ReadOutcome> read(Shard shard, long from, Duration wait) {
      throw new UnsupportedOperationException("the test only writes");
    }

    @Override
    public CompletableFuture<ReadOutcome> readUpTo(Shard shard, long from, int maxBytes) {
      throw new UnsupportedOperationException("the test only writes");
    }

    @Override
    public CompletableFuture<NewestPage> newest(Shard shard, String after) {
      throw new UnsupportedOperationException("the test only writes");
    }
  }

  private CompletableFuture<ItemResult> write(String item, int length) {
    byte[] entry = "x".repeat(length).getBytes(StandardCharsets.US_ASCII);
    ItemResult result = new ItemResult(new ItemId(item), false, Set.of(), entry);
    return entries.write(new JobId("j1"), result, () -> true);
  }

  /** Guards against results that are never listed, because one before them can't be stored. */
  @Test
  void entryThatTheStoreRefusesDelaysNoOther() {
    CompletableFuture<ItemResult> refused = write("i0", 2 * MAX_RECORD_BYTES);
    CompletableFuture<ItemResult> second = write("i1", 5_000);
    CompletableFuture<ItemResult> third = write("i2", 5_000);
    queue.run(Duration.ofSeconds(2));
    assertThat(refused.isDone()).isFalse();
    assertThat(second.isDone() && third.isDone()).isTrue();
  }
}
