package org.carobhoist.core.store;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import org.carobhoist.core.testing.EventQueue;
import org.carobhoist.core.testing.ManualClock;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** An append must not fail with a conflict just because the tailer pauses between reads. */
final class OrderedAppenderTest {

  private static final Shard SHARD = new Shard("jobs", 0);
  private static final Duration POLL_WAIT = Duration.ofSeconds(1);
  private static final Duration BATCHING_DELAY = Duration.ofMillis(400);
  private static final Duration LINGER = Duration.ofMillis(15);

  private final ManualClock clock = new ManualClock();
  private final EventQueue queue = new EventQueue(clock);
  private final SharedLog log = new SharedLog();
  private final FaultyRecordStore link = new FaultyRecordStore(log, queue, new SplittableRandom(3));
  private final List<AppendOutcome> outcomes = new ArrayList<>();

  /** Records the outcomes of appends. */
  private final class RecordingStore implements RecordStore {

    private Runnable beforeCall = () -> {};

    @Override
    public CompletableFuture<AppendOutcome> append(
        Shard shard, List<KeyedRecord> records, OptionalLong at) {
      beforeCall.run();
      return link.append(shard, records, at)
          .whenComplete((outcome, failure) -> outcomes.add(outcome));
    }

    @Override
    public CompletableFuture<ReadOutcome> read(Shard shard, long from, Duration wait) {
      beforeCall.run();
      return link.read(shard, from, wait);
    }

    @Override
    public CompletableFuture<ReadOutcome> readUpTo(Shard shard, long from, int maxBytes) {
      return link.readUpTo(shard, from, maxBytes);
    }

    @Override
    public CompletableFuture<NewestPage> newest(Shard shard, String after) {
      beforeCall.run();
      return link.newest(shard, after);
    }
  }

  private static final class NoOpListener implements TailListener {

    @Override
    public void onSnapshot(Snapshot snapshot) {}

    @Override
    public void onRecord(StoredRecord stored) {}
  }

  private void appendFromOtherProcess(String key) {
    log.append(SHARD, List.of(new KeyedRecord(key, new byte[] {1})), OptionalLong.empty());
  }

  /** Guards against an appender that stops for good, so that no result is published any more. */
  @Test
  void appendsAgainAfterExceptionsOfTheStoreAndOfTheCondition() {
    Thread.currentThread().setUncaughtExceptionHandler((thread, failure) -> {});
    int[] failuresLeft = {3};
    Runnable failSometimes =
        () -> {
          if (failuresLeft[0]-- > 0) {
            throw new IllegalStateException("simulated failure");
          }
        };
    RecordingStore store = new RecordingStore();
    store.beforeCall = failSometimes;
    ShardTailer tail =
        ShardTailer.create(store, SHARD, new NoOpListener(), clock, queue::schedule, POLL_WAIT);
    final OrderedAppender appender =
        OrderedAppender.create(
            store,
            tail,
            key -> {
              failSometimes.run();
              return AppendTiming.NOW;
            },
            queue::schedule,
            LINGER);
    tail.start();
    queue.run(Duration.ofSeconds(3));
    assertThat(tail.isLoaded()).isTrue();
    failuresLeft[0] = 5;
    CompletableFuture<Boolean> appended = appender.append(new KeyedRecord("own", new byte[] {2}));
    queue.run(Duration.ofSeconds(10));
    assertThat(appended.isDone() && appended.join()).isTrue();
  }

  @AfterEach
  void removeExceptionHandler() {
    Thread.currentThread().setUncaughtExceptionHandler(null);
  }

  @Test
  void readsBeforeAppendWhileTailPauses() {
    RecordStore store = new RecordingStore();
    ShardTailer tail =
        ShardTailer.create(
            store,
            SHARD,
            new NoOpListener(),
            clock,
            queue::schedule,
            POLL_WAIT,
            () -> BATCHING_DELAY);
    final OrderedAppender appender =
        OrderedAppender.create(store, tail, key -> AppendTiming.NOW, queue::schedule, LINGER);
    tail.start();
    queue.run(Duration.ofMillis(100));
    appendFromOtherProcess("first");
    queue.run(Duration.ofMillis(200));
    appendFromOtherProcess("second");
    CompletableFuture<Boolean> appended = appender.append(new KeyedRecord("own", new byte[] {2}));
    queue.run(Duration.ofMillis(400));
    assertThat(appended.join()).isTrue();
    assertThat(outcomes).containsExactly(new AppendOutcome.Appended(2));
  }
}
