package org.carobhoist.core.store;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import org.carobhoist.core.testing.EventQueue;
import org.carobhoist.core.testing.ManualClock;
import org.junit.jupiter.api.Test;

/** Number of reads by a tailer, and the delay until it delivers a record. */
final class ShardTailerTest {

  private static final Shard SHARD = new Shard("servers", 0);
  private static final Duration POLL_WAIT = Duration.ofSeconds(1);
  private static final Duration MAX_STALENESS = Duration.ofSeconds(1);
  private static final Duration BATCHING_DELAY = Duration.ofMillis(400);
  private static final Duration TEST_DURATION = Duration.ofSeconds(20);
  private static final int RECORDS = 500;

  private final ManualClock clock = new ManualClock();
  private final EventQueue queue = new EventQueue(clock);
  private final Store store = new Store();
  private final List<Duration> lags = new ArrayList<>();
  private Duration batchingDelay = Duration.ZERO;

  /** A store that responds immediately, or as soon as a record is appended. */
  private final class Store implements RecordStore {

    private final List<StoredRecord> records = new ArrayList<>();
    private final List<Duration> appendTimes = new ArrayList<>();
    private Optional<Runnable> waitingReader = Optional.empty();
    private int reads;
    private boolean withholdsResponses;
    private int maxRecordsPerRead = Integer.MAX_VALUE / 2;

    private void addRecord() {
      records.add(new StoredRecord(records.size(), "k", new byte[] {1}));
      appendTimes.add(clock.elapsed());
      Optional<Runnable> reader = waitingReader;
      waitingReader = Optional.empty();
      if (!withholdsResponses) {
        reader.ifPresent(Runnable::run);
      }
    }

    @Override
    public CompletableFuture<AppendOutcome> append(
        Shard shard, List<KeyedRecord> appended, OptionalLong at) {
      throw new UnsupportedOperationException("the test appends to the store directly");
    }

    @Override
    public CompletableFuture<ReadOutcome> read(Shard shard, long from, Duration wait) {
      reads++;
      CompletableFuture<ReadOutcome> reply = new CompletableFuture<>();
      Runnable answer =
          () -> {
            int to = Math.min(records.size(), (int) from + maxRecordsPerRead);
            List<StoredRecord> found = records.subList((int) from, to);
            reply.complete(new ReadOutcome.Batch(records.size(), List.copyOf(found)));
          };
      if (from < records.size() || wait.isZero()) {
        queue.after(Duration.ofMillis(4), answer);
      } else {
        waitingReader = Optional.of(answer);
      }
      return reply;
    }

    @Override
    public CompletableFuture<ReadOutcome> readUpTo(Shard shard, long from, int maxBytes) {
      throw new UnsupportedOperationException("ShardTailer doesn't use readUpTo");
    }

    @Override
    public CompletableFuture<NewestPage> newest(Shard shard, String after) {
      return CompletableFuture.completedFuture(new NewestPage(List.of(), false, records.size()));
    }
  }

  private final class Listener implements TailListener {

    @Override
    public void onSnapshot(Snapshot snapshot) {}

    @Override
    public void onRecord(StoredRecord stored) {
      lags.add(clock.elapsed().minus(store.appendTimes.get((int) stored.offset())));
    }
  }

  private ShardTailer startTail() {
    ShardTailer tail =
        ShardTailer.create(
            store, SHARD, new Listener(), clock, queue::schedule, POLL_WAIT, () -> batchingDelay);
    tail.start();
    for (int i = 1; i <= RECORDS; i++) {
      queue.after(TEST_DURATION.multipliedBy(i).dividedBy(RECORDS), store::addRecord);
    }
    return tail;
  }

  @Test
  void pausesLimitNumberOfReads() {
    batchingDelay = BATCHING_DELAY;
    startTail();
    queue.run(TEST_DURATION.plus(BATCHING_DELAY.multipliedBy(2)));
    assertThat(lags).hasSize(RECORDS);
    assertThat(store.reads).isAtMost((int) TEST_DURATION.dividedBy(BATCHING_DELAY) + 2);
    for (Duration lag : lags) {
      assertThat(lag).isAtMost(BATCHING_DELAY.plusMillis(50));
    }
  }

  @Test
  void deliversImmediatelyWithoutPause() {
    startTail();
    queue.run(TEST_DURATION.plusSeconds(1));
    assertThat(lags).hasSize(RECORDS);
    for (Duration lag : lags) {
      assertThat(lag).isAtMost(Duration.ofMillis(50));
    }
  }

  @Test
  void endsPauseOnRequest() {
    batchingDelay = BATCHING_DELAY;
    ShardTailer tail = startTail();
    queue.run(Duration.ofMillis(100));
    final int before = lags.size();
    batchingDelay = Duration.ZERO;
    tail.endPause();
    tail.endPause();
    queue.run(Duration.ofMillis(110));
    assertThat(lags.size()).isGreaterThan(before);
    queue.run(TEST_DURATION.plusSeconds(1));
    assertThat(lags).hasSize(RECORDS);
  }

  @Test
  void barrierDoesNotWaitForPause() {
    batchingDelay = BATCHING_DELAY;
    ShardTailer tail = startTail();
    queue.run(Duration.ofMillis(200));
    CompletableFuture<Void> barrier = tail.barrier();
    queue.run(Duration.ofMillis(210));
    assertThat(barrier.isDone()).isTrue();
    assertThat(tail.nextOffset()).isEqualTo(store.records.size());
  }

  @Test
  void staleTailReadsAgainWhileLongPollHangs() {
    ShardTailer tail =
        ShardTailer.create(store, SHARD, new Listener(), clock, queue::schedule, POLL_WAIT);
    tail.start();
    store.withholdsResponses = true;
    queue.run(Duration.ofMillis(10));
    store.addRecord();
    clock.advance(MAX_STALENESS.plusMillis(200));
    tail.awaitFreshness(MAX_STALENESS);
    queue.run(clock.elapsed().plusMillis(100));
    assertThat(tail.nextOffset()).isEqualTo(1);
  }

  @Test
  void doesNotPauseWhileBehind() {
    batchingDelay = BATCHING_DELAY;
    store.maxRecordsPerRead = 5;
    final ShardTailer tail = startTail();
    queue.run(Duration.ofMillis(20));
    for (int i = 0; i < 100; i++) {
      store.addRecord();
    }
    queue.run(BATCHING_DELAY.plusMillis(300));
    assertThat(tail.nextOffset()).isAtLeast(100);
  }

  @Test
  void freshTailMakesNoExtraRead() {
    ShardTailer tail =
        ShardTailer.create(store, SHARD, new Listener(), clock, queue::schedule, POLL_WAIT);
    tail.start();
    queue.run(Duration.ofMillis(10));
    final int before = store.reads;
    assertThat(tail.awaitFreshness(MAX_STALENESS).isDone()).isTrue();
    assertThat(store.reads).isEqualTo(before);
  }
}
