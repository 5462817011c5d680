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

/** Number of reads by a tail, and the delay until it delivers a record. */
final class KeyedTailTest {

  private static final Shard SHARD = new Shard("servers", 0);
  private static final Duration WAIT = Duration.ofSeconds(1);
  private static final Duration SETTLE = Duration.ofSeconds(1);
  private static final Duration GATHERING = Duration.ofMillis(400);
  private static final Duration LENGTH = Duration.ofSeconds(20);
  private static final int RECORDS = 500;

  private final ManualClock clock = new ManualClock();
  private final EventQueue queue = new EventQueue(clock);
  private final Store store = new Store();
  private final List<Duration> lags = new ArrayList<>();
  private Duration gathering = Duration.ZERO;

  /** A store that responds immediately, or as soon as a record is appended. */
  private final class Store implements RecordStore {

    private final List<StoredRecord> records = new ArrayList<>();
    private final List<Duration> times = new ArrayList<>();
    private Optional<Runnable> waiting = Optional.empty();
    private int reads;
    private boolean silent;
    private int mostRecords = Integer.MAX_VALUE / 2;

    private void put() {
      records.add(new StoredRecord(records.size(), "k", new byte[] {1}));
      times.add(clock.elapsed());
      Optional<Runnable> reader = waiting;
      waiting = Optional.empty();
      if (!silent) {
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
            int to = Math.min(records.size(), (int) from + mostRecords);
            List<StoredRecord> found = records.subList((int) from, to);
            reply.complete(new ReadOutcome.Batch(records.size(), List.copyOf(found)));
          };
      if (from < records.size() || wait.isZero()) {
        queue.after(Duration.ofMillis(4), answer);
      } else {
        waiting = Optional.of(answer);
      }
      return reply;
    }

    @Override
    public CompletableFuture<ReadOutcome> readUpTo(Shard shard, long from, int maxBytes) {
      throw new UnsupportedOperationException("tails don't use readUpTo");
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
      lags.add(clock.elapsed().minus(store.times.get((int) stored.offset())));
    }
  }

  private KeyedTail follow() {
    KeyedTail tail =
        KeyedTail.create(
            store, SHARD, new Listener(), clock, queue::schedule, WAIT, () -> gathering);
    tail.start();
    for (int i = 1; i <= RECORDS; i++) {
      queue.after(LENGTH.multipliedBy(i).dividedBy(RECORDS), store::put);
    }
    return tail;
  }

  @Test
  void readsDoNotGrowWithTheRecordsWhereTheyAreGathered() {
    gathering = GATHERING;
    follow();
    queue.run(LENGTH.plus(GATHERING.multipliedBy(2)));
    assertThat(lags).hasSize(RECORDS);
    assertThat(store.reads).isAtMost((int) LENGTH.dividedBy(GATHERING) + 2);
    for (Duration lag : lags) {
      assertThat(lag).isAtMost(GATHERING.plusMillis(50));
    }
  }

  @Test
  void withoutPauseEachRecordComesAtOnce() {
    follow();
    queue.run(LENGTH.plusSeconds(1));
    assertThat(lags).hasSize(RECORDS);
    for (Duration lag : lags) {
      assertThat(lag).isAtMost(Duration.ofMillis(50));
    }
  }

  @Test
  void hurryEndsThePause() {
    gathering = GATHERING;
    KeyedTail tail = follow();
    queue.run(Duration.ofMillis(100));
    final int before = lags.size();
    gathering = Duration.ZERO;
    tail.hurry();
    tail.hurry();
    queue.run(Duration.ofMillis(110));
    assertThat(lags.size()).isGreaterThan(before);
    queue.run(LENGTH.plusSeconds(1));
    assertThat(lags).hasSize(RECORDS);
  }

  @Test
  void whoNeedsToKnowIsNotKeptWaiting() {
    gathering = GATHERING;
    KeyedTail tail = follow();
    queue.run(Duration.ofMillis(200));
    CompletableFuture<Void> known = tail.barrier();
    queue.run(Duration.ofMillis(210));
    assertThat(known.isDone()).isTrue();
    assertThat(tail.next()).isEqualTo(store.records.size());
  }

  @Test
  void positionIsNotDeniedWhileReadsHang() {
    KeyedTail tail = KeyedTail.create(store, SHARD, new Listener(), clock, queue::schedule, WAIT);
    tail.start();
    store.silent = true;
    queue.run(Duration.ofMillis(10));
    store.put();
    clock.advance(SETTLE.plusMillis(200));
    tail.asOf(SETTLE);
    queue.run(clock.elapsed().plusMillis(100));
    assertThat(tail.next()).isEqualTo(1);
  }

  @Test
  void tailThatIsBehindReadsOnWithoutPauses() {
    gathering = GATHERING;
    store.mostRecords = 5;
    final KeyedTail tail = follow();
    queue.run(Duration.ofMillis(20));
    for (int i = 0; i < 100; i++) {
      store.put();
    }
    queue.run(GATHERING.plusMillis(300));
    assertThat(tail.next()).isAtLeast(100);
  }

  @Test
  void tailThatHasJustReadAsksNothingMore() {
    KeyedTail tail = KeyedTail.create(store, SHARD, new Listener(), clock, queue::schedule, WAIT);
    tail.start();
    queue.run(Duration.ofMillis(10));
    final int before = store.reads;
    assertThat(tail.asOf(SETTLE).isDone()).isTrue();
    assertThat(store.reads).isEqualTo(before);
  }
}
