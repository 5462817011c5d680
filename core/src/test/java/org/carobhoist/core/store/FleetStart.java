package org.carobhoist.core.store;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import org.carobhoist.core.testing.EventQueue;
import org.carobhoist.core.testing.ManualClock;

/**
 * Simulates processes that start at the same time against a store whose scan pages share one
 * bandwidth. A page whose reader has timed out still uses bandwidth.
 */
final class FleetStart {

  private static final int SHARDS = 4;
  private static final Duration READ_TIMEOUT = Duration.ofMillis(700);
  private static final Duration RESPONSE_TIME = Duration.ofMillis(4);
  private static final Duration BARRIER_RETRY_DELAY = Duration.ofMillis(500);
  private static final int PAGES = 2;
  private static final double PAGE_MEGABYTES = 1.33;
  private static final double STORE_MEGABYTES_PER_SECOND = 80;
  private static final Duration PAGE_TRANSFER_TIME =
      Duration.ofMillis((long) (1_000 * PAGE_MEGABYTES / STORE_MEGABYTES_PER_SECOND));

  private final ManualClock clock = new ManualClock();
  private final EventQueue queue = new EventQueue(clock);
  private final Duration pageTimeout;
  private Duration busyUntil = Duration.ZERO;
  private int readyProcesses;

  private FleetStart(Duration pageTimeout) {
    this.pageTimeout = pageTimeout;
  }

  /** Returns how many of the processes have completed a barrier on every shard within a time. */
  static int readyProcessesWithin(
      Duration time, int processes, Duration pageTimeout, boolean sequentially) {
    FleetStart fleet = new FleetStart(pageTimeout);
    for (int i = 0; i < processes; i++) {
      fleet.start(sequentially);
    }
    fleet.queue.run(time);
    return fleet.readyProcesses;
  }

  private void start(boolean sequentially) {
    List<ShardTailer> tails = new ArrayList<>();
    for (int i = 0; i < SHARDS; i++) {
      tails.add(
          ShardTailer.create(
              new Store(),
              new Shard("jobs", i),
              new NoOpListener(),
              clock,
              queue::schedule,
              Duration.ofSeconds(1)));
    }
    int[] remainingShards = {SHARDS};
    if (sequentially) {
      startSequentially(tails, 0);
    } else {
      tails.forEach(ShardTailer::start);
    }
    tails.forEach(t -> awaitBarrier(t, remainingShards));
  }

  private void startSequentially(List<ShardTailer> tails, int index) {
    if (index < tails.size()) {
      tails.get(index).start();
      tails.get(index).whenFirstScanEnded(() -> startSequentially(tails, index + 1));
    }
  }

  /** Requests a barrier, and retries until one completes. */
  private void awaitBarrier(ShardTailer tail, int[] remainingShards) {
    tail.barrier()
        .whenComplete(
            (ok, failure) -> {
              if (failure != null) {
                queue.after(BARRIER_RETRY_DELAY, () -> awaitBarrier(tail, remainingShards));
              } else if (--remainingShards[0] == 0) {
                readyProcesses++;
              }
            });
  }

  private static final class NoOpListener implements TailListener {

    @Override
    public void onSnapshot(Snapshot snapshot) {}

    @Override
    public void onRecord(StoredRecord stored) {}
  }

  private final class Store implements RecordStore {

    @Override
    public CompletableFuture<AppendOutcome> append(
        Shard shard, List<KeyedRecord> records, OptionalLong at) {
      throw new UnsupportedOperationException("this simulation doesn't append");
    }

    @Override
    public CompletableFuture<ReadOutcome> read(Shard shard, long from, Duration wait) {
      return respond(
          wait, Duration.ZERO, wait.plus(READ_TIMEOUT), new ReadOutcome.Batch(from, List.of()));
    }

    @Override
    public CompletableFuture<ReadOutcome> readUpTo(Shard shard, long from, int maxBytes) {
      throw new UnsupportedOperationException("ShardTailer doesn't use readUpTo");
    }

    @Override
    public CompletableFuture<NewestPage> newest(Shard shard, String after) {
      int page = after.isEmpty() ? 1 : Integer.parseInt(after) + 1;
      List<StoredRecord> records =
          List.of(new StoredRecord(page, Integer.toString(page), new byte[] {1}));
      return respond(
          Duration.ZERO,
          PAGE_TRANSFER_TIME,
          pageTimeout,
          new NewestPage(records, page < PAGES, PAGES + 1));
    }

    /**
     * Completes with the content after all earlier calls have been served and this one's transfer
     * time has passed, or fails after the limit.
     */
    private <T> CompletableFuture<T> respond(
        Duration wait, Duration transferTime, Duration limit, T content) {
      CompletableFuture<T> reply = new CompletableFuture<>();
      queue.after(
          wait,
          () -> {
            Duration now = clock.elapsed();
            busyUntil = (busyUntil.compareTo(now) > 0 ? busyUntil : now).plus(transferTime);
            queue.after(busyUntil.minus(now).plus(RESPONSE_TIME), () -> reply.complete(content));
          });
      queue.after(
          limit, () -> reply.completeExceptionally(StoreException.mayHaveRun("timed out", null)));
      return reply;
    }
  }
}
