package org.carobhoist.server.gateway;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import org.carobhoist.core.common.Scheduler;
import org.carobhoist.core.job.EntryRead;
import org.carobhoist.core.job.ItemResult;
import org.carobhoist.core.job.Job;
import org.carobhoist.core.job.JobId;
import org.carobhoist.core.job.JobRecordCodec;
import org.carobhoist.core.job.JobView;
import org.carobhoist.core.job.ResultEntries;
import org.carobhoist.core.store.AppendOutcome;
import org.carobhoist.core.store.KeyedTail;
import org.carobhoist.core.store.OrderedAppender;
import org.carobhoist.core.store.RecordStore;
import org.carobhoist.core.store.Want;
import org.carobhoist.server.log.EventLog;
import org.carobhoist.server.log.LogEvent;

/** Lists results in the store, each item once whichever processes have a result for it. */
final class ResultLists {

  /** Time that results wait for others, so that an append carries several. */
  private static final Duration LINGER = Duration.ofMillis(15);

  private final RecordStore store;
  private final List<KeyedTail> tails;
  private final JobView view;
  private final JobRecordCodec codec;
  private final ResultEntries entries;
  private final List<OrderedAppender> appenders = new ArrayList<>();

  ResultLists(
      RecordStore store,
      List<KeyedTail> tails,
      JobView view,
      JobRecordCodec codec,
      ResultEntries entries,
      Scheduler scheduler) {
    this.store = store;
    this.tails = tails;
    this.view = view;
    this.codec = codec;
    this.entries = entries;
    for (KeyedTail tail : tails) {
      appenders.add(OrderedAppender.create(store, tail, view::want, scheduler, LINGER));
    }
  }

  /** Lists a result; returns whether it is the one in the store. */
  CompletableFuture<Boolean> list(JobId job, ItemResult result) {
    String key = codec.listed(job, result).key();
    return entries
        .write(job, result, () -> view.want(key) != Want.NEVER)
        .thenCompose(placed -> appenders.get(view.shardOf(job)).append(codec.listed(job, placed)));
  }

  /** Returns results with what pages say of them; fails if that can't be read now. */
  CompletableFuture<List<ItemResult>> load(List<ItemResult> results) {
    return entries.load(results);
  }

  /** Logs a reading from the store, which a reader of results has waited for. */
  static void logRead(EntryRead read) {
    EventLog.info(
        LogEvent.ENTRIES_READ,
        "shard",
        read.shard(),
        "entries",
        read.wanted(),
        "reads",
        read.reads(),
        "pages",
        read.pages(),
        "bytes",
        read.bytes(),
        "ms",
        read.took().toMillis(),
        "why",
        read.failure().map(String::valueOf).orElse(""));
  }

  /** Drops every record of a job; the job is gone from the view once the store has done so. */
  CompletableFuture<AppendOutcome> forget(Job job) {
    KeyedTail tail = tails.get(view.shardOf(job.id()));
    return entries
        .forget(job)
        .thenCompose(ok -> store.append(tail.shard(), codec.forgotten(job), OptionalLong.empty()));
  }

  /** Returns the number of results that wait for the store. */
  int waiting() {
    return appenders.stream().mapToInt(OrderedAppender::size).sum();
  }
}
