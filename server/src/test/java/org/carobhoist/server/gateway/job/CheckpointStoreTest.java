package org.carobhoist.server.gateway.job;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.carobhoist.core.placement.TextCheckpoint;
import org.carobhoist.core.placement.TextDelta;
import org.carobhoist.core.store.AppendOutcome;
import org.carobhoist.core.store.KeyedRecord;
import org.carobhoist.core.store.NewestPage;
import org.carobhoist.core.store.ReadOutcome;
import org.carobhoist.core.store.RecordStore;
import org.carobhoist.core.store.Shard;
import org.carobhoist.core.store.StoredRecord;
import org.junit.jupiter.api.Test;

final class CheckpointStoreTest {

  private static final byte[] TEXT =
      RunMapper.textMessage(new TextDelta(0, 1, new byte[] {'a'}, "1", Set.of())).toByteArray();

  /** A store with three records in one page, of which the first two have no usable key or value. */
  private static final class OddStore implements RecordStore {

    @Override
    public CompletableFuture<AppendOutcome> append(
        Shard shard, List<KeyedRecord> records, OptionalLong at) {
      throw new UnsupportedOperationException("the test only reads");
    }

    @Override
    public CompletableFuture<ReadOutcome> read(Shard shard, long from, Duration wait) {
      throw new UnsupportedOperationException("texts are read by key");
    }

    @Override
    public CompletableFuture<ReadOutcome> readUpTo(Shard shard, long from, int maxBytes) {
      throw new UnsupportedOperationException("texts are read by key");
    }

    @Override
    public CompletableFuture<NewestPage> newest(Shard shard, String after) {
      return CompletableFuture.completedFuture(
          new NewestPage(
              List.of(
                  new StoredRecord(0, "unfinished/j1/i 1", TEXT),
                  new StoredRecord(1, "unfinished/j1/i2", new byte[] {0, 0, 0, 0x1a}),
                  new StoredRecord(2, "unfinished/j1/i3", TEXT)),
              false,
              3));
    }
  }

  @Test
  void unreadableTextDoesNotHideTheOthers() {
    List<TextCheckpoint> texts = new CheckpointStore(new OddStore()).load().join();
    assertThat(texts).hasSize(1);
    assertThat(texts.get(0).key().item().value()).isEqualTo("i3");
  }
}
