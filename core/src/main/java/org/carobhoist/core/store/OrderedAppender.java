package org.carobhoist.core.store;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import org.carobhoist.core.common.Callbacks;
import org.carobhoist.core.common.JitteredBackoff;
import org.carobhoist.core.common.Scheduler;

/**
 * Appends records that must not be duplicated, even if many processes append them concurrently. An
 * append is conditional: it succeeds only if the shard ends where this process has read to, and it
 * contains only records that are still wanted after everything that was read. So if two processes
 * append the same record, one wins. An append whose response is lost, or that takes effect late,
 * isn't duplicated: once it has taken effect, the condition of a retry fails, and the next read
 * returns the record.
 */
public final class OrderedAppender {

  private static final Duration FIRST_RETRY_DELAY = Duration.ofMillis(20);
  private static final Duration MAX_RETRY_DELAY = Duration.ofMillis(200);

  /** Maximum size of the records in one append, in bytes; half of what the store accepts. */
  private static final int MAX_BATCH_BYTES = 1 << 20;

  private final RecordStore store;
  private final ShardTailer tail;
  private final Function<String, AppendTiming> wanted;
  private final Scheduler scheduler;
  private final Duration linger;
  private final JitteredBackoff backoff;
  private final Map<String, Pending> pendingByKey = new LinkedHashMap<>();
  private boolean active;

  private record Pending(KeyedRecord content, CompletableFuture<Boolean> future) {}

  private OrderedAppender(
      RecordStore store,
      ShardTailer tail,
      Function<String, AppendTiming> wanted,
      Scheduler scheduler,
      Duration linger) {
    this.store = store;
    this.tail = tail;
    this.wanted = wanted;
    this.scheduler = scheduler;
    this.linger = linger;
    this.backoff =
        JitteredBackoff.create(
            FIRST_RETRY_DELAY,
            MAX_RETRY_DELAY,
            new SplittableRandom(System.identityHashCode(this)));
  }

  /**
   * Returns an appender for the shard that a tailer follows.
   *
   * @param wanted whether to append the record of a key, judging by what the tailer has read
   * @param linger how long to wait for more records before an append
   */
  public static OrderedAppender create(
      RecordStore store,
      ShardTailer tail,
      Function<String, AppendTiming> wanted,
      Scheduler scheduler,
      Duration linger) {
    return new OrderedAppender(store, tail, wanted, scheduler, linger);
  }

  /**
   * Appends a record, retrying without limit until the store can be reached. If a record with the
   * same key is pending already, the new one is ignored and the future of the pending one returned.
   *
   * @return completes with true if this process appended the record, with false if the record was
   *     no longer wanted
   */
  public CompletableFuture<Boolean> append(KeyedRecord content) {
    Pending pending =
        pendingByKey.computeIfAbsent(
            content.key(), key -> new Pending(content, new CompletableFuture<>()));
    if (!active) {
      active = true;
      scheduler.after(linger, this::process);
    }
    return pending.future();
  }

  /** Returns the number of records that aren't appended yet. */
  public int pendingCount() {
    return pendingByKey.size();
  }

  /** Appends what is pending; starts again after an exception, since nothing else would. */
  private void process() {
    if (!Callbacks.runReported(this::appendPending)) {
      scheduler.after(backoff.nextDelay(), this::process);
    }
  }

  private void appendPending() {
    if (pendingByKey.isEmpty()) {
      active = false;
    } else if (!tail.isLoaded() || tail.isPaused()) {
      readThenAppend();
    } else {
      appendBatch();
    }
  }

  private void appendBatch() {
    dropUnwanted();
    if (pendingByKey.isEmpty()) {
      active = false;
      return;
    }
    List<Pending> batch = nextBatch();
    if (batch.isEmpty()) {
      scheduler.after(MAX_RETRY_DELAY, this::process);
      return;
    }
    long expectedEnd = tail.nextOffset();
    List<KeyedRecord> records = batch.stream().map(Pending::content).toList();
    Callbacks.start(() -> store.append(tail.shard(), records, OptionalLong.of(expectedEnd)))
        .whenComplete(
            Callbacks.reported((outcome, failure) -> afterAppend(batch, outcome, failure)));
  }

  private void afterAppend(List<Pending> batch, AppendOutcome outcome, Throwable failure) {
    if (failure != null) {
      scheduler.after(backoff.nextDelay(), this::process);
      return;
    }
    backoff.reset();
    if (outcome instanceof AppendOutcome.Appended appended) {
      batch.forEach(p -> pendingByKey.remove(p.content().key()));
      tail.onAppended(appended.offset(), batch.stream().map(Pending::content).toList());
      batch.forEach(p -> p.future().complete(true));
      process();
      return;
    }
    readThenAppend();
  }

  private void readThenAppend() {
    tail.barrier()
        .whenComplete(
            Callbacks.reported(
                (ok, failure) -> {
                  if (failure == null) {
                    appendAfterRead();
                  } else {
                    scheduler.after(backoff.nextDelay(), this::process);
                  }
                }));
  }

  private void appendAfterRead() {
    if (!Callbacks.runReported(this::appendBatch)) {
      scheduler.after(backoff.nextDelay(), this::process);
    }
  }

  private void dropUnwanted() {
    for (Pending p : List.copyOf(pendingByKey.values())) {
      if (wanted.apply(p.content().key()) == AppendTiming.NEVER) {
        pendingByKey.remove(p.content().key());
        p.future().complete(false);
      }
    }
  }

  private List<Pending> nextBatch() {
    List<Pending> batch = new ArrayList<>();
    int bytes = 0;
    for (Pending p : pendingByKey.values()) {
      if (wanted.apply(p.content().key()) == AppendTiming.LATER) {
        continue;
      }
      bytes += p.content().size();
      if (!batch.isEmpty() && bytes > MAX_BATCH_BYTES) {
        break;
      }
      batch.add(p);
    }
    return batch;
  }
}
