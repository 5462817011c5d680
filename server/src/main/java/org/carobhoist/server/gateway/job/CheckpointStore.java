package org.carobhoist.server.gateway.job;

import com.google.protobuf.InvalidProtocolBufferException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import org.carobhoist.core.job.ItemId;
import org.carobhoist.core.job.JobId;
import org.carobhoist.core.placement.ItemKey;
import org.carobhoist.core.placement.TextCheckpoint;
import org.carobhoist.core.store.KeyedRecord;
import org.carobhoist.core.store.RecordStore;
import org.carobhoist.core.store.StoredRecord;
import org.carobhoist.server.gateway.store.Topics;
import org.carobhoist.server.link.proto.RunText;
import org.carobhoist.server.log.EventLog;
import org.carobhoist.server.log.LogEvent;

/**
 * Keeps the unfinished texts of items in a shard of the store that nobody follows. Only a process
 * that becomes coordinator reads it.
 */
public final class CheckpointStore {

  private static final String KIND = "unfinished";
  private static final String SEPARATOR = "/";

  private final RecordStore store;

  /** Creates a store of unfinished texts in the records of the platform's store. */
  public CheckpointStore(RecordStore store) {
    this.store = store;
  }

  /** Stores texts in place of older ones, and deletes those of other items. */
  public CompletableFuture<Void> store(List<TextCheckpoint> texts, List<ItemKey> obsolete) {
    List<KeyedRecord> records = new ArrayList<>();
    texts.forEach(
        c ->
            records.add(
                new KeyedRecord(key(c.key()), RunMapper.textMessage(c.text()).toByteArray())));
    obsolete.forEach(k -> records.add(KeyedRecord.tombstone(key(k))));
    return store
        .append(Topics.UNFINISHED_TEXTS, records, OptionalLong.empty())
        .thenAccept(ok -> {});
  }

  /** Reads all texts. */
  public CompletableFuture<List<TextCheckpoint>> load() {
    return loadAfter("", new ArrayList<>());
  }

  private CompletableFuture<List<TextCheckpoint>> loadAfter(
      String lastKey, List<TextCheckpoint> loaded) {
    return store
        .newest(Topics.UNFINISHED_TEXTS, lastKey)
        .thenCompose(
            page -> {
              page.records().forEach(r -> decode(r).ifPresent(loaded::add));
              return page.more() && !page.records().isEmpty()
                  ? loadAfter(page.lastKey(), loaded)
                  : CompletableFuture.completedFuture(loaded);
            });
  }

  private static String key(ItemKey item) {
    return String.join(SEPARATOR, KIND, item.job().value(), item.item().value());
  }

  private static Optional<TextCheckpoint> decode(StoredRecord stored) {
    // The job's id contains a separator if the job has an account, the other parts don't.
    int jobStart = stored.key().indexOf(SEPARATOR) + 1;
    int jobEnd = stored.key().lastIndexOf(SEPARATOR);
    if (stored.isTombstone() || jobStart > jobEnd) {
      return Optional.empty();
    }
    try {
      JobId job = JobId.parse(stored.key().substring(jobStart, jobEnd));
      ItemKey key = new ItemKey(job, new ItemId(stored.key().substring(jobEnd + 1)));
      RunText text = RunText.parseFrom(stored.value());
      return Optional.of(new TextCheckpoint(key, RunMapper.delta(text)));
    } catch (InvalidProtocolBufferException | IllegalArgumentException e) {
      EventLog.warn(
          LogEvent.RECORD_SKIPPED, "key", stored.key(), "offset", stored.offset(), "why", e);
      return Optional.empty();
    }
  }
}
