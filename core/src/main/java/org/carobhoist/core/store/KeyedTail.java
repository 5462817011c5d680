package org.carobhoist.core.store;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
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
 * <p>After a read that returned records a tail may pause, so that the next read returns a batch of
 * records. Otherwise the number of reads would grow with the number of records.
 */
public final class KeyedTail {

  private static final Duration FIRST_PAUSE = Duration.ofMillis(50);
  private static final Duration LONGEST_PAUSE = Duration.ofMillis(400);

  /**
   * Longest time after which an interrupted scan is resumed. This is half of the shortest record
   * retention of all installations, so that records appended during the scan can still be read.
   */
  private static final Duration LONGEST_WALK = Duration.ofSeconds(10);

  private static final long UNKNOWN = -1;

  private final RecordStore store;
  private final Shard shard;
  private final TailListener listener;
  private final Clock clock;
  private final Scheduler scheduler;
  private final Duration wait;
  private final Supplier<Duration> gathering;
  private final JitteredBackoff backoff;
  private long next = UNKNOWN;
  private long nextAtStep = UNKNOWN;
  private long knownEnd = UNKNOWN;
  private boolean pausing;
  private Runnable onTried = () -> {};
  private Runnable cancelPause = () -> {};
  private Duration freshAsOf = Duration.ZERO;
  private boolean loaded;
  private boolean tried;
  private boolean lost;
  private Optional<Walk> unfinished = Optional.empty();
  private CompletableFuture<Void> reload;
  private CompletableFuture<Void> answering;
  private CompletableFuture<Void> asked;

  private KeyedTail(
      RecordStore store,
      Shard shard,
      TailListener listener,
      Clock clock,
      Scheduler scheduler,
      Duration wait,
      Supplier<Duration> gathering) {
    this.store = store;
    this.shard = shard;
    this.listener = listener;
    this.clock = clock;
    this.scheduler = scheduler;
    this.wait = wait;
    this.gathering = gathering;
    this.backoff =
        JitteredBackoff.create(FIRST_PAUSE, LONGEST_PAUSE, new SplittableRandom(shard.hashCode()));
  }

  /**
   * Returns a tail that isn't started yet and never pauses.
   *
   * @param wait how long a long poll waits for a record
   */
  public static KeyedTail create(
      RecordStore store,
      Shard shard,
      TailListener listener,
      Clock clock,
      Scheduler scheduler,
      Duration wait) {
    return create(store, shard, listener, clock, scheduler, wait, () -> Duration.ZERO);
  }

  /**
   * Returns a tail that isn't started yet.
   *
   * @param wait how long a long poll waits for a record
   * @param gathering supplies the pause after a read that returned records, queried each time
   */
  public static KeyedTail create(
      RecordStore store,
      Shard shard,
      TailListener listener,
      Clock clock,
      Scheduler scheduler,
      Duration wait,
      Supplier<Duration> gathering) {
    return new KeyedTail(store, shard, listener, clock, scheduler, wait, gathering);
  }

  /** Starts to follow the shard. */
  public void start() {
    step();
  }

  /**
   * Runs a task when the first scan of the shard has ended, successfully or not; immediately if it
   * has ended already. Only one task can wait for this.
   */
  public void whenTried(Runnable task) {
    if (tried) {
      task.run();
    } else {
      onTried = task;
    }
  }

  /** Ends a pause, because a caller waits for the next record. */
  public void hurry() {
    if (pausing) {
      pausing = false;
      cancelPause.run();
      step();
    }
  }

  /** Returns whether the tail is pausing, so that new records may be unread. */
  public boolean isPausing() {
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
  public long next() {
    return next;
  }

  /** Returns the time, on the elapsed clock, up to which all records have been read. */
  public Duration freshAsOf() {
    return freshAsOf;
  }

  /** Returns whether the last scan or long poll failed. */
  public boolean isLost() {
    return lost;
  }

  /**
   * Completes when everything has been read that the shard holds now; fails if that can't be
   * ensured. Barriers requested while another one is active share the next read: the active one may
   * have read the end of the shard before the request.
   */
  public CompletableFuture<Void> barrier() {
    if (answering == null) {
      answering = readPast();
      CompletableFuture<Void> own = answering;
      own.whenComplete((ok, failure) -> answerNext());
      return own;
    }
    if (asked == null) {
      asked = new CompletableFuture<>();
    }
    return asked;
  }

  private void answerNext() {
    CompletableFuture<Void> waiting = asked;
    answering = null;
    asked = null;
    if (waiting != null) {
      barrier().whenComplete((ok, failure) -> settle(waiting, failure));
    }
  }

  private static void settle(CompletableFuture<Void> question, Throwable failure) {
    if (failure == null) {
      question.complete(null);
    } else {
      question.completeExceptionally(failure);
    }
  }

  /**
   * Completes when everything has been read that the shard held the given time ago, without a read
   * if that is the case already; fails if it can't be ensured.
   *
   * @param age maximum staleness, zero or more
   */
  public CompletableFuture<Void> asOf(Duration age) {
    boolean known = loaded && clock.elapsed().minus(freshAsOf).compareTo(age) <= 0;
    return known ? CompletableFuture.completedFuture(null) : barrier();
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
  private CompletableFuture<Void> readPast() {
    return loaded ? readTo(UNKNOWN) : reload().thenCompose(ok -> readTo(UNKNOWN));
  }

  /** Reads up to an offset, or up to the end that the first response reports. */
  private CompletableFuture<Void> readTo(long end) {
    Duration sentAt = clock.elapsed();
    return store
        .read(shard, next, Duration.ZERO)
        .thenCompose(
            outcome -> {
              if (!(outcome instanceof ReadOutcome.Batch batch)) {
                return reload().thenCompose(ok -> readTo(end));
              }
              absorb(batch, sentAt);
              long goal = end == UNKNOWN ? batch.end() : end;
              return next >= goal ? CompletableFuture.completedFuture(null) : readTo(goal);
            });
  }

  private void step() {
    if (!loaded) {
      reload().whenComplete((ok, failure) -> afterStep(failure));
      return;
    }
    Duration sentAt = clock.elapsed();
    nextAtStep = next;
    store
        .read(shard, next, wait)
        .thenCompose(outcome -> afterRead(outcome, sentAt))
        .whenComplete((ok, failure) -> afterStep(failure));
  }

  private CompletableFuture<Void> afterRead(ReadOutcome outcome, Duration sentAt) {
    if (outcome instanceof ReadOutcome.Batch batch) {
      absorb(batch, sentAt);
      return CompletableFuture.completedFuture(null);
    }
    return reload();
  }

  private void afterStep(Throwable failure) {
    if (failure == null) {
      noteRegained();
      goOn();
      return;
    }
    if (!lost) {
      lost = true;
      listener.onLost(failure);
    }
    scheduler.after(backoff.next(), this::step);
  }

  private void goOn() {
    Duration pause = next > nextAtStep && next >= knownEnd ? gathering.get() : Duration.ZERO;
    if (pause.isZero()) {
      step();
      return;
    }
    pausing = true;
    cancelPause =
        scheduler.after(
            pause,
            () -> {
              pausing = false;
              step();
            });
  }

  private void noteRegained() {
    backoff.reset();
    if (lost) {
      lost = false;
      listener.onRegained();
    }
  }

  private void absorb(ReadOutcome.Batch batch, Duration sentAt) {
    batch.records().forEach(this::deliver);
    knownEnd = batch.end();
    if (next >= batch.end() && sentAt.compareTo(freshAsOf) > 0) {
      freshAsOf = sentAt;
    }
  }

  private void deliver(StoredRecord stored) {
    if (stored.offset() == next) {
      next++;
      listener.onRecord(stored);
    }
  }

  /** Scans all pages, or resumes an interrupted scan; concurrent callers share one scan. */
  private CompletableFuture<Void> reload() {
    if (reload != null) {
      return reload;
    }
    Duration now = clock.elapsed();
    Walk walk = unfinished.filter(w -> w.mayGoOn(now)).orElseGet(() -> new Walk(now));
    unfinished = Optional.of(walk);
    CompletableFuture<Void> whole = page(walk).thenRun(() -> install(walk));
    reload = whole;
    whole.whenComplete(
        (ok, failure) -> {
          reload = null;
          listener.onWalk(walk.report(clock.elapsed(), failure));
          noteTried();
        });
    return whole;
  }

  private void noteTried() {
    tried = true;
    Runnable task = onTried;
    onTried = () -> {};
    task.run();
  }

  /** Progress of a scan over the newest records. */
  private static final class Walk {

    private final Duration sentAt;
    private final List<StoredRecord> records = new ArrayList<>();
    private String lastKey = "";
    private long end = UNKNOWN;
    private int pages;

    private Walk(Duration sentAt) {
      this.sentAt = sentAt;
    }

    private void add(NewestPage page) {
      end = end == UNKNOWN ? page.end() : end;
      records.addAll(page.records());
      page.records().stream().reduce((a, b) -> b).ifPresent(r -> lastKey = r.key());
      pages++;
    }

    private boolean mayGoOn(Duration now) {
      return now.minus(sentAt).compareTo(LONGEST_WALK) < 0;
    }

    private ShardWalk report(Duration now, Throwable failure) {
      long bytes = records.stream().mapToLong(StoredRecord::size).sum();
      Duration took = now.minus(sentAt);
      return new ShardWalk(pages, records.size(), bytes, took, Optional.ofNullable(failure));
    }
  }

  private CompletableFuture<Void> page(Walk walk) {
    return store
        .newest(shard, walk.lastKey)
        .thenCompose(
            page -> {
              walk.add(page);
              if (page.more() && page.records().isEmpty()) {
                return CompletableFuture.failedFuture(
                    StoreException.notRun("page of " + shard + " is empty, but not the last one"));
              }
              return page.more() ? page(walk) : CompletableFuture.completedFuture(null);
            });
  }

  /**
   * Delivers a complete scan and continues reading from the end that its first page reported, so
   * that records appended during the scan are read again in order. A scan that is older than what
   * has been read meanwhile is dropped, since it would take the listener back in time.
   */
  private void install(Walk walk) {
    unfinished = Optional.empty();
    if (loaded && walk.end < next) {
      return;
    }
    listener.onSnapshot(Snapshot.of(walk.records, walk.end));
    next = walk.end;
    loaded = true;
    freshAsOf = walk.sentAt;
  }
}
