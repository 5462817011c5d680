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
 * Follows one shard. It begins with the newest record of each key and goes on with waiting reads
 * from there; where records have expired it begins anew. Records reach the listener once and in
 * order, whichever read brought them.
 *
 * <p>A caller that needs to know that nothing is missing asks for a {@link #barrier()}: it
 * completes when everything is known that was in the shard when the question came.
 *
 * <p>After a read that brought records a tail may pause, so that the next read brings what has come
 * meanwhile: the number of reads then doesn't grow with the number of records.
 */
public final class KeyedTail {

  private static final Duration FIRST_PAUSE = Duration.ofMillis(50);
  private static final Duration LONGEST_PAUSE = Duration.ofMillis(400);

  /** Half of the shortest history of the installations: what came meanwhile can still be read. */
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
   * Returns a tail that hasn't started and never pauses.
   *
   * @param wait how long one read waits for a record
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
   * Returns a tail that hasn't started.
   *
   * @param wait how long one read waits for a record
   * @param gathering how long to pause after a read that brought records, at the present moment
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

  /** Begins to follow the shard. */
  public void start() {
    step();
  }

  /** Runs a task once the first reading of the shard has ended, whole or not; at once if it has. */
  public void whenTried(Runnable task) {
    if (tried) {
      task.run();
    } else {
      onTried = task;
    }
  }

  /** Ends a pause: somebody waits for the next record. */
  public void hurry() {
    if (pausing) {
      pausing = false;
      cancelPause.run();
      step();
    }
  }

  /** Returns whether records may have come since the last read that nobody waits for. */
  public boolean isPausing() {
    return pausing;
  }

  /** Returns the shard. */
  public Shard shard() {
    return shard;
  }

  /** Returns whether the listener has the newest record of every key. */
  public boolean isLoaded() {
    return loaded;
  }

  /** Returns the offset after the last record that the listener has. */
  public long next() {
    return next;
  }

  /** Returns the moment, by the elapsed clock, up to which nothing is missing. */
  public Duration freshAsOf() {
    return freshAsOf;
  }

  /** Returns whether the last read failed. */
  public boolean isLost() {
    return lost;
  }

  /**
   * Completes once everything is known that the shard holds now; fails if that can't be told.
   * Questions that come while another is being answered share the next read.
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
   * Completes once everything is known that the shard held a while ago; fails if that can't be
   * told.
   *
   * @param age how long ago, zero or more
   */
  public CompletableFuture<Void> asOf(Duration age) {
    boolean known = loaded && clock.elapsed().minus(freshAsOf).compareTo(age) <= 0;
    return known ? CompletableFuture.completedFuture(null) : barrier();
  }

  /** Takes records that this process has appended itself, right at the end that it knew. */
  public void onAppended(long offset, List<KeyedRecord> records) {
    for (int i = 0; i < records.size(); i++) {
      KeyedRecord r = records.get(i);
      deliver(new StoredRecord(offset + i, r.key(), r.value()));
    }
  }

  /** Reads on to where the shard ends now; a walk under way may have begun before the question. */
  private CompletableFuture<Void> readPast() {
    return loaded ? readTo(UNKNOWN) : reload().thenCompose(ok -> readTo(UNKNOWN));
  }

  /** Reads on to an offset, or to the end that the first answer tells. */
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

  /** Reads all pages, or goes on after those read before a failure; callers share one walk. */
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

  /** What has been read of the newest records. */
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
                    StoreException.notRun("an empty page of " + shard + " isn't the last one"));
              }
              return page.more() ? page(walk) : CompletableFuture.completedFuture(null);
            });
  }

  /** Installs a walk; what came after its first page is read again in order. */
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
