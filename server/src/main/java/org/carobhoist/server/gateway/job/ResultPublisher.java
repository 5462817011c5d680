package org.carobhoist.server.gateway.job;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import org.carobhoist.core.common.Scheduler;
import org.carobhoist.core.job.EntryReadStatistics;
import org.carobhoist.core.job.ItemResult;
import org.carobhoist.core.job.Job;
import org.carobhoist.core.job.JobId;
import org.carobhoist.core.job.JobRecordCodec;
import org.carobhoist.core.job.JobView;
import org.carobhoist.core.job.ResultEntries;
import org.carobhoist.core.store.AppendOutcome;
import org.carobhoist.core.store.AppendTiming;
import org.carobhoist.core.store.OrderedAppender;
import org.carobhoist.core.store.RecordStore;
import org.carobhoist.core.store.ShardTailer;
import org.carobhoist.server.log.EventLog;
import org.carobhoist.server.log.LogEvent;

/** Publishes results in the store, once per item even if several processes have a result of it. */
public final class ResultPublisher {

  /** Delay of an append, to batch several results in it. */
  private static final Duration LINGER = Duration.ofMillis(15);

  private final RecordStore store;
  private final List<ShardTailer> tails;
  private final JobView view;
  private final JobRecordCodec codec;
  private final ResultEntries entries;
  private final List<OrderedAppender> appenders = new ArrayList<>();

  /** Creates a publisher that stores results in the job shards, which the given tails read. */
  public ResultPublisher(
      RecordStore store,
      List<ShardTailer> tails,
      JobView view,
      JobRecordCodec codec,
      ResultEntries entries,
      Scheduler scheduler) {
    this.store = store;
    this.tails = tails;
    this.view = view;
    this.codec = codec;
    this.entries = entries;
    for (ShardTailer tail : tails) {
      appenders.add(OrderedAppender.create(store, tail, view::appendTiming, scheduler, LINGER));
    }
  }

  /** Publishes a result; the future is false if the item has one already or its job has ended. */
  public CompletableFuture<Boolean> publish(JobId job, ItemResult result) {
    String key = codec.resultRecord(job, result).key();
    return entries
        .write(job, result, () -> view.appendTiming(key) != AppendTiming.NEVER)
        .thenCompose(
            stored -> appenders.get(view.shardOf(job)).append(codec.resultRecord(job, stored)));
  }

  /** Returns results with their page entries; fails if one can't be read now. */
  public CompletableFuture<List<ItemResult>> load(List<ItemResult> results) {
    return entries.load(results);
  }

  /** Logs a read of result entries from the store that was made to serve a client. */
  public static void logRead(EntryReadStatistics read) {
    EventLog.info(
        LogEvent.ENTRIES_READ,
        "shard",
        read.shard(),
        "entries",
        read.requested(),
        "reads",
        read.offsetReads(),
        "pages",
        read.keyPages(),
        "bytes",
        read.bytes(),
        "ms",
        read.duration().toMillis(),
        "why",
        read.failure().map(String::valueOf).orElse(""));
  }

  /** Deletes all records of a job; it disappears from the view once the store has done so. */
  public CompletableFuture<AppendOutcome> delete(Job job) {
    ShardTailer tail = tails.get(view.shardOf(job.id()));
    return entries
        .delete(job)
        .thenCompose(
            ok -> store.append(tail.shard(), codec.deletionRecords(job), OptionalLong.empty()));
  }

  /** Returns the number of results that have not been appended to the store yet. */
  public int pendingCount() {
    return appenders.stream().mapToInt(OrderedAppender::pendingCount).sum();
  }
}
