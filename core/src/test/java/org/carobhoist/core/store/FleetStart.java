package org.carobhoist.core.store;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import org.carobhoist.core.testing.EventQueue;
import org.carobhoist.core.testing.ManualClock;

/**
 * Processes that start together before a store whose reads share one rate. A page that its reader
 * has given up is sent all the same.
 */
final class FleetStart {

  private static final int SHARDS = 4;
  private static final int PAGES = 2;
  private static final double PAGE_MEGABYTES = 1.33;
  private static final double STORE_MEGABYTES_PER_SECOND = 80;
  private static final Duration PAGE_TIME =
      Duration.ofMillis((long) (1_000 * PAGE_MEGABYTES / STORE_MEGABYTES_PER_SECOND));

  private final ManualClock clock = new ManualClock();
  private final EventQueue queue = new EventQueue(clock);
  private final Duration timeout;
  private Duration busyUntil = Duration.ZERO;
  private int loaded;

  private FleetStart(Duration timeout) {
    this.timeout = timeout;
  }

  /** Returns how many of the processes have read all shards within a time. */
  static int loadedWithin(Duration time, int processes, Duration pageTimeout, boolean inTurn) {
    FleetStart fleet = new FleetStart(pageTimeout);
    for (int i = 0; i < processes; i++) {
      fleet.start(inTurn);
    }
    fleet.queue.run(time);
    return fleet.loaded;
  }

  private void start(boolean inTurn) {
    List<KeyedTail> tails = new ArrayList<>();
    int[] left = {SHARDS};
    for (int i = 0; i < SHARDS; i++) {
      tails.add(
          KeyedTail.create(
              new Store(),
              new Shard("jobs", i),
              new Snapshots(left),
              clock,
              queue::schedule,
              Duration.ofSeconds(1)));
    }
    if (inTurn) {
      startInTurn(tails, 0);
    } else {
      tails.forEach(KeyedTail::start);
    }
  }

  private void startInTurn(List<KeyedTail> tails, int index) {
    if (index < tails.size()) {
      tails.get(index).start();
      tails.get(index).whenTried(() -> startInTurn(tails, index + 1));
    }
  }

  private final class Snapshots implements TailListener {

    private final int[] left;

    private Snapshots(int[] left) {
      this.left = left;
    }

    @Override
    public void onSnapshot(Snapshot snapshot) {
      left[0]--;
      loaded += left[0] == 0 ? 1 : 0;
    }

    @Override
    public void onRecord(StoredRecord stored) {}
  }

  private final class Store implements RecordStore {

    @Override
    public CompletableFuture<AppendOutcome> append(
        Shard shard, List<KeyedRecord> records, OptionalLong at) {
      throw new UnsupportedOperationException("nothing is written here");
    }

    @Override
    public CompletableFuture<ReadOutcome> read(Shard shard, long from, Duration wait) {
      return new CompletableFuture<>();
    }

    @Override
    public CompletableFuture<ReadOutcome> readUpTo(Shard shard, long from, int maxBytes) {
      throw new UnsupportedOperationException("only tails read here");
    }

    @Override
    public CompletableFuture<NewestPage> newest(Shard shard, String after) {
      CompletableFuture<NewestPage> reply = new CompletableFuture<>();
      Duration now = clock.elapsed();
      busyUntil = (busyUntil.compareTo(now) > 0 ? busyUntil : now).plus(PAGE_TIME);
      int page = after.isEmpty() ? 1 : Integer.parseInt(after) + 1;
      List<StoredRecord> one =
          List.of(new StoredRecord(page, Integer.toString(page), new byte[] {1}));
      queue.after(
          busyUntil.minus(now), () -> reply.complete(new NewestPage(one, page < PAGES, PAGES + 1)));
      queue.after(
          timeout,
          () -> reply.completeExceptionally(StoreException.mayHaveRun("no answer in time", null)));
      return reply;
    }
  }
}
