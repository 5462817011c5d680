package org.carobhoist.core.store;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.carobhoist.core.testing.EventQueue;
import org.carobhoist.core.testing.ManualClock;
import org.junit.jupiter.api.Test;

/** Barriers and failures during the first scan of a shard. */
final class ShardTailerStartTest {

  private static final Shard SHARD = new Shard("jobs", 0);
  private static final Duration PAGE_DELAY = Duration.ofMillis(500);

  private final ManualClock clock = new ManualClock();
  private final EventQueue queue = new EventQueue(clock);
  private final SharedLog log = new SharedLog();
  private final Listener listener = new Listener();
  private boolean emptyPageOnce;
  private int immediateReads;
  private long immediateRecords;

  private final class Store implements RecordStore {

    @Override
    public CompletableFuture<AppendOutcome> append(
        Shard shard, List<KeyedRecord> records, OptionalLong at) {
      throw new UnsupportedOperationException("the test appends to the log directly");
    }

    @Override
    public CompletableFuture<ReadOutcome> read(Shard shard, long from, Duration wait) {
      CompletableFuture<ReadOutcome> reply = new CompletableFuture<>();
      Duration delay = wait.isZero() ? Duration.ofMillis(4) : wait;
      queue.after(
          delay,
          () -> {
            ReadOutcome outcome = log.read(SHARD, from);
            if (wait.isZero() && outcome instanceof ReadOutcome.Batch b) {
              immediateReads++;
              immediateRecords += b.records().size();
            }
            reply.complete(outcome);
          });
      return reply;
    }

    @Override
    public CompletableFuture<ReadOutcome> readUpTo(Shard shard, long from, int maxBytes) {
      throw new UnsupportedOperationException("ShardTailer doesn't use readUpTo");
    }

    @Override
    public CompletableFuture<NewestPage> newest(Shard shard, String after) {
      CompletableFuture<NewestPage> reply = new CompletableFuture<>();
      NewestPage page =
          emptyPageOnce && !after.isEmpty()
              ? new NewestPage(List.of(), true, log.records(SHARD).size())
              : log.newest(shard, after, 3);
      queue.after(PAGE_DELAY, () -> reply.complete(page));
      return reply;
    }
  }

  private static final class Listener implements TailListener {

    private final List<String> known = new ArrayList<>();
    private final List<String> skipped = new ArrayList<>();
    private final Set<String> unreadableKeys = new HashSet<>();
    private String failsOnKey = "";

    @Override
    public void onSnapshot(Snapshot snapshot) {
      if (unreadableKeys.isEmpty()) {
        snapshot.records().forEach(this::onRecord);
      } else {
        snapshot.forEach(snapshot.records(), this::onRecord);
      }
    }

    @Override
    public void onRecordFailed(StoredRecord stored, RuntimeException cause) {
      skipped.add(stored.key());
    }

    @Override
    public void onRecord(StoredRecord stored) {
      if (stored.key().equals(failsOnKey)) {
        failsOnKey = "";
        throw new IllegalStateException("simulated failure of the listener");
      }
      if (unreadableKeys.contains(stored.key())) {
        throw new IllegalStateException("simulated record that can't be handled");
      }
      known.add(stored.key());
    }
  }

  private void append(String... keys) {
    for (String key : keys) {
      log.append(SHARD, List.of(new KeyedRecord(key, new byte[] {1})), OptionalLong.empty());
    }
  }

  private ShardTailer startTail() {
    ShardTailer tail =
        ShardTailer.create(
            new Store(),
            SHARD,
            listener,
            clock,
            queue::schedule,
            Duration.ofSeconds(1),
            () -> Duration.ofMillis(250));
    tail.start();
    return tail;
  }

  @Test
  void barriersDuringFirstScanShareReadsAfterIt() {
    append("a", "b", "c", "d");
    ShardTailer tail = startTail();
    List<CompletableFuture<Void>> barriers = new ArrayList<>();
    for (int i = 0; i < 30; i++) {
      barriers.add(tail.barrier());
    }
    append("e", "f", "g", "h", "i", "j", "k", "l", "m", "n");
    queue.run(Duration.ofSeconds(3));
    barriers.forEach(c -> assertThat(c.isDone()).isTrue());
    assertThat(immediateReads).isAtMost(2);
    assertThat(immediateRecords).isAtMost(20);
  }

  @Test
  void snapshotWhoseDeliveryFailedIsDeliveredAgain() {
    append("a", "b", "c", "d");
    listener.failsOnKey = "b";
    ShardTailer tail = startTail();
    queue.run(Duration.ofSeconds(2));
    CompletableFuture<Void> barrier = tail.barrier();
    queue.run(Duration.ofSeconds(10));
    assertThat(barrier.isDone() && !barrier.isCompletedExceptionally()).isTrue();
    assertThat(listener.known).containsAtLeast("a", "b", "c", "d");
  }

  @Test
  void firstScanCallbackRunsAfterFailedScan() {
    append("a", "b", "c", "d");
    listener.failsOnKey = "b";
    ShardTailer tail = startTail();
    boolean[] callbackRan = {false};
    tail.whenFirstScanEnded(() -> callbackRan[0] = true);
    queue.run(Duration.ofSeconds(30));
    assertThat(tail.isLoaded()).isTrue();
    assertThat(callbackRan[0]).isTrue();
  }

  @Test
  void recordThatCannotBeHandledStopsNeitherScanNorReads() {
    append("a", "b", "c");
    listener.unreadableKeys.addAll(List.of("b", "e"));
    ShardTailer tail = startTail();
    queue.run(Duration.ofSeconds(2));
    assertThat(tail.isLoaded()).isTrue();
    append("d", "e", "f");
    CompletableFuture<Void> barrier = tail.barrier();
    queue.run(Duration.ofSeconds(4));
    assertThat(barrier.isDone() && !barrier.isCompletedExceptionally()).isTrue();
    assertThat(listener.known).containsExactly("a", "c", "d", "f").inOrder();
    assertThat(listener.skipped).containsExactly("b", "e").inOrder();
  }

  @Test
  void emptyPageDoesNotEndScanIfMoreFollow() {
    append("a", "b", "c", "d", "e");
    emptyPageOnce = true;
    ShardTailer tail = startTail();
    queue.run(Duration.ofSeconds(2));
    emptyPageOnce = false;
    CompletableFuture<Void> barrier = tail.barrier();
    queue.run(Duration.ofSeconds(20));
    assertThat(barrier.isDone()).isTrue();
    assertThat(listener.known).containsAtLeast("a", "b", "c", "d", "e");
  }
}
