package org.carobhoist.core.store;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.carobhoist.core.common.Callbacks;
import org.carobhoist.core.common.Clock;
import org.carobhoist.core.common.JitteredBackoff;
import org.carobhoist.core.common.Scheduler;

/**
 * Follows one shard. It first scans the newest record of each key, then continues with long polls
 * from the end of the scan; if the next records have expired it scans again. Records reach the
 * listener once and in order, whichever read returned them.
 *
 * <p>A caller that must not miss any record requests a {@link #barrier()}, which completes when
 * everything has been read that was in the shard at the time of the request.
 *
 * <p>After a read that returned records a tailer may pause, so that the next read returns a batch
 * of records. Otherwise the number of reads would grow with the number of records.
 */
public final class ShardTailer {

  private static final Duration FIRST_RETRY_DELAY = Duration.ofMillis(50);
  private static final Duration MAX_RETRY_DELAY = Duration.ofMillis(400);

  /**
   * Longest time after which an interrupted scan is resumed. This is half of the shortest record
   * retention of all installations, so that records appended during the scan can still be read.
   */
  private static final Duration MAX_SCAN_RESUME_AGE = Duration.ofSeconds(10);

  private static final long UNKNOWN = -1;

  private final RecordStore store;
  private final Shard shard;
  private final TailListener listener;
  private final Clock clock;
  private final Scheduler scheduler;
  private final Duration wait;
  private final Supplier<Duration> batchingDelay;
  private final JitteredBackoff backoff;
  private long nextOffset = UNKNOWN;
  private long offsetAtLastPoll = UNKNOWN;
  private long knownEnd = UNKNOWN;
  private boolean pausing;
  private Runnable onFirstScanEnded = () -> {};
  private Runnable cancelPause = () -> {};
  private Duration freshAsOf = Duration.ZERO;
  private boolean loaded;
  private boolean firstScanEnded;
  private boolean failing;
  private Optional<Scan> interruptedScan = Optional.empty();
  private CompletableFuture<Void> activeScan;
  private CompletableFuture<Void> activeBarrier;
  private CompletableFuture<Void> queuedBarrier;

  private ShardTailer(
      RecordStore store,
      Shard shard,
      TailListener listener,
      Clock clock,
      Scheduler scheduler,
      Duration wait,
      Supplier<Duration> batchingDelay) {
    this.store = store;
    this.shard = shard;
    this.listener = listener;
    this.clock = clock;
    this.scheduler = scheduler;
    this.wait = wait;
    this.batchingDelay = batchingDelay;
    this.backoff =
        JitteredBackoff.create(
            FIRST_RETRY_DELAY, MAX_RETRY_DELAY, new SplittableRandom(shard.hashCode()));
  }

  /**
   * Returns a tailer that isn't started yet and never pauses.
   *
   * @param wait how long a long poll waits for a record
   */
  public static ShardTailer create(
      RecordStore store,
      Shard shard,
      TailListener listener,
      Clock clock,
      Scheduler scheduler,
      Duration wait) {
    return create(store, shard, listener, clock, scheduler, wait, () -> Duration.ZERO);
  }

  /**
   * Returns a tailer that isn't started yet.
   *
   * @param wait how long a long poll waits for a record
   * @param batchingDelay supplies the pause after a read that returned records, queried each time
   */
  public static ShardTailer create(
      RecordStore store,
      Shard shard,
      TailListener listener,
      Clock clock,
      Scheduler scheduler,
      Duration wait,
      Supplier<Duration> batchingDelay) {
    return new ShardTailer(store, shard, listener, clock, scheduler, wait, batchingDelay);
  }

  /** Starts to follow the shard. */
  public void start() {
    poll();
  }

  /**
   * Runs a task when the first scan of the shard has ended, successfully or not; immediately if it
   * has ended already. Only one task can wait for this.
   */
  public void whenFirstScanEnded(Runnable task) {
    if (firstScanEnded) {
      task.run();
    } else {
      onFirstScanEnded = task;
    }
  }

  /** Ends a pause, because a caller waits for the next record. */
  public void endPause() {
    if (pausing) {
      pausing = false;
      cancelPause.run();
      poll();
    }
  }

  /** Returns whether the tailer is pausing, so that new records may be unread. */
  public boolean isPaused() {
    return pausing;
  }

  /** Returns the shard. */
  public Shard shard() {
    return shard;
  }

  /** Returns whether the listener has received a snapshot. */
  public boolean isLoaded() {
    return loaded;
  }

  /** Returns the offset after the last record that the listener has received. */
  public long nextOffset() {
    return nextOffset;
  }

  /** Returns the time, on the elapsed clock, up to which all records have been read. */
  public Duration freshAsOf() {
    return freshAsOf;
  }

  /** Returns whether the last scan or long poll failed. */
  public boolean isFailing() {
    return failing;
  }

  /**
   * Completes when everything has been read that the shard holds now; fails if that can't be
   * ensured. Barriers requested while another one is active share the next read: the active one may
   * have read the end of the shard before the request.
   */
  public CompletableFuture<Void> barrier() {
    if (activeBarrier == null) {
      activeBarrier = readToCurrentEnd();
      CompletableFuture<Void> started = activeBarrier;
      started.whenComplete(Callbacks.reported((ok, failure) -> startQueuedBarrier()));
      return started;
    }
    if (queuedBarrier == null) {
      queuedBarrier = new CompletableFuture<>();
    }
    return queuedBarrier;
  }

  private void startQueuedBarrier() {
    CompletableFuture<Void> queued = queuedBarrier;
    activeBarrier = null;
    queuedBarrier = null;
    if (queued != null) {
      barrier().whenComplete(Callbacks.reported((ok, failure) -> complete(queued, failure)));
    }
  }

  private static void complete(CompletableFuture<Void> future, Throwable failure) {
    if (failure == null) {
      future.complete(null);
    } else {
      future.completeExceptionally(failure);
    }
  }

  /**
   * Completes when everything has been read that the shard held the given time ago, without a read
   * if that is the case already; fails if it can't be ensured.
   *
   * @param age maximum staleness, zero or more
   */
  public CompletableFuture<Void> awaitFreshness(Duration age) {
    boolean isFreshEnough = loaded && clock.elapsed().minus(freshAsOf).compareTo(age) <= 0;
    return isFreshEnough ? CompletableFuture.completedFuture(null) : barrier();
  }

  /**
   * Called after this process has appended records at the end that it had read to, to deliver them
   * without another read.
   */
  public void onAppended(long offset, List<KeyedRecord> records) {
    for (int i = 0; i < records.size(); i++) {
      KeyedRecord r = records.get(i);
      deliver(new StoredRecord(offset + i, r.key(), r.value()));
    }
  }

  /**
   * Reads up to the current end of the shard. A scan alone isn't enough: one in progress may have
   * started before the barrier was requested.
   */
  private CompletableFuture<Void> readToCurrentEnd() {
    return loaded ? readTo(UNKNOWN) : scan().thenCompose(ok -> readTo(UNKNOWN));
  }

  /** Reads up to an offset, or up to the end that the first response reports. */
  private CompletableFuture<Void> readTo(long end) {
    Duration sentAt = clock.elapsed();
    return Callbacks.start(() -> store.read(shard, nextOffset, Duration.ZERO))
        .thenCompose(
            outcome -> {
              if (!(outcome instanceof ReadOutcome.Batch batch)) {
                return scan().thenCompose(ok -> readTo(end));
              }
              deliverBatch(batch, sentAt);
              long target = end == UNKNOWN ? batch.end() : end;
              return nextOffset >= target
                  ? CompletableFuture.completedFuture(null)
                  : readTo(target);
            });
  }

  private void poll() {
    if (!loaded) {
      scan().whenComplete(Callbacks.reported((ok, failure) -> afterPoll(failure)));
      return;
    }
    Duration sentAt = clock.elapsed();
    offsetAtLastPoll = nextOffset;
    Callbacks.start(() -> store.read(shard, nextOffset, wait))
        .thenCompose(outcome -> afterRead(outcome, sentAt))
        .whenComplete(Callbacks.reported((ok, failure) -> afterPoll(failure)));
  }

  private CompletableFuture<Void> afterRead(ReadOutcome outcome, Duration sentAt) {
    if (outcome instanceof ReadOutcome.Batch batch) {
      deliverBatch(batch, sentAt);
      return CompletableFuture.completedFuture(null);
    }
    return scan();
  }

  private void afterPoll(Throwable failure) {
    if (failure == null) {
      endReadFailure();
      scheduleNextPoll();
      return;
    }
    scheduler.after(backoff.nextDelay(), this::poll);
    if (!failing) {
      failing = true;
      listener.onReadFailed(failure);
    }
  }

  private void scheduleNextPoll() {
    Duration pause =
        nextOffset > offsetAtLastPoll && nextOffset >= knownEnd
            ? batchingDelay.get()
            : Duration.ZERO;
    if (pause.isZero()) {
      poll();
      return;
    }
    pausing = true;
    cancelPause =
        scheduler.after(
            pause,
            () -> {
              pausing = false;
              poll();
            });
  }

  private void endReadFailure() {
    backoff.reset();
    if (failing) {
      failing = false;
      Callbacks.runReported(listener::onReadRecovered);
    }
  }

  private void deliverBatch(ReadOutcome.Batch batch, Duration sentAt) {
    batch.records().forEach(this::deliver);
    knownEnd = batch.end();
    if (nextOffset >= batch.end() && sentAt.compareTo(freshAsOf) > 0) {
      freshAsOf = sentAt;
    }
  }

  private void deliver(StoredRecord stored) {
    if (stored.offset() == nextOffset) {
      nextOffset++;
      try {
        listener.onRecord(stored);
      } catch (RuntimeException e) {
        listener.onRecordFailed(stored, e);
      }
    }
  }

  /** Scans all pages, or resumes an interrupted scan; concurrent callers share one scan. */
  private CompletableFuture<Void> scan() {
    if (activeScan != null) {
      return activeScan;
    }
    Duration now = clock.elapsed();
    Scan scan = interruptedScan.filter(s -> s.canResume(now)).orElseGet(() -> new Scan(now));
    interruptedScan = Optional.of(scan);
    CompletableFuture<Void> completion = readPages(scan).thenRun(() -> install(scan));
    activeScan = completion;
    completion.whenComplete(
        Callbacks.reported(
            (ok, failure) -> {
              activeScan = null;
              ShardScan statistics = scan.statistics(clock.elapsed(), failure);
              Callbacks.runReported(() -> listener.onScanFinished(statistics));
              endFirstScan();
            }));
    return completion;
  }

  private void endFirstScan() {
    firstScanEnded = true;
    Runnable task = onFirstScanEnded;
    onFirstScanEnded = () -> {};
    Callbacks.runReported(task);
  }

  /** Progress of a scan over the newest records. */
  private static final class Scan {

    private final Duration startedAt;
    private final List<StoredRecord> records = new ArrayList<>();
    private String lastKey = "";
    private long end = UNKNOWN;
    private int pages;

    private Scan(Duration startedAt) {
      this.startedAt = startedAt;
    }

    private void add(NewestPage page) {
      end = end == UNKNOWN ? page.end() : end;
      records.addAll(page.records());
      if (!page.records().isEmpty()) {
        lastKey = page.lastKey();
      }
      pages++;
    }

    private boolean canResume(Duration now) {
      return now.minus(startedAt).compareTo(MAX_SCAN_RESUME_AGE) < 0;
    }

    private ShardScan statistics(Duration now, Throwable failure) {
      long bytes = records.stream().mapToLong(StoredRecord::size).sum();
      Duration took = now.minus(startedAt);
      return new ShardScan(pages, records.size(), bytes, took, Optional.ofNullable(failure));
    }
  }

  private CompletableFuture<Void> readPages(Scan scan) {
    return Callbacks.start(() -> store.newest(shard, scan.lastKey))
        .thenCompose(
            page -> {
              scan.add(page);
              if (page.more() && page.records().isEmpty()) {
                return CompletableFuture.failedFuture(
                    StoreException.notRun("page of " + shard + " is empty, but not the last one"));
              }
              return page.more() ? readPages(scan) : CompletableFuture.completedFuture(null);
            });
  }

  /**
   * Delivers a complete scan and continues reading from the end that its first page reported, so
   * that records appended during the scan are read again in order. A scan that is older than what
   * has been read meanwhile is dropped, since it would revert the listener to an older state.
   */
  private void install(Scan scan) {
    interruptedScan = Optional.empty();
    if (loaded && scan.end < nextOffset) {
      return;
    }
    listener.onSnapshot(Snapshot.of(scan.records, scan.end, listener::onRecordFailed));
    nextOffset = scan.end;
    loaded = true;
    freshAsOf = scan.startedAt;
  }
}
