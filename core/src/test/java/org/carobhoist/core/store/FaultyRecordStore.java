package org.carobhoist.core.store;

import java.time.Duration;
import java.util.List;
import java.util.OptionalLong;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.carobhoist.core.testing.EventQueue;

/** Connection of one process to a shared log; calls may be slow, refused, lost or executed late. */
public final class FaultyRecordStore implements RecordStore {

  private static final Duration TIMEOUT = Duration.ofMillis(700);
  private static final int PAGE_SIZE = 3;
  private static final int MAX_DELAY_MILLIS = 12;
  private static final int MIN_LATE_EXECUTION_MILLIS = 1_000;
  private static final int MAX_LATE_EXECUTION_MILLIS = 6_000;

  private final SharedLog log;
  private final EventQueue queue;
  private final SplittableRandom random;
  private double faultShare;
  private boolean disconnected;
  private boolean dead;
  private Consumer<Runnable> delivery = Runnable::run;

  /** Creates a connection without faults. */
  public FaultyRecordStore(SharedLog log, EventQueue queue, SplittableRandom random) {
    this.log = log;
    this.queue = queue;
    this.random = random;
  }

  /** Sets the probability that a call fails, from 0 to 1. */
  public void setFailureProbability(double share) {
    faultShare = share;
  }

  /** Disconnects the process from the store, or reconnects it. */
  public void setDisconnected(boolean value) {
    disconnected = value;
  }

  /** Sets how responses reach the process, which may be paused when they arrive. */
  public void setDelivery(Consumer<Runnable> value) {
    delivery = value;
  }

  /** Crashes the process: it gets no more responses, but calls in flight still take effect. */
  public void kill() {
    dead = true;
  }

  @Override
  public CompletableFuture<AppendOutcome> append(
      Shard shard, List<KeyedRecord> records, OptionalLong at) {
    return call(() -> log.append(shard, records, at), true);
  }

  @Override
  public CompletableFuture<ReadOutcome> read(Shard shard, long from, Duration wait) {
    CompletableFuture<ReadOutcome> out = new CompletableFuture<>();
    call(() -> log.read(shard, from), false)
        .whenComplete((outcome, failure) -> afterRead(shard, from, wait, outcome, failure, out));
    return out;
  }

  @Override
  public CompletableFuture<ReadOutcome> readUpTo(Shard shard, long from, int maxBytes) {
    return call(() -> log.readUpTo(shard, from, maxBytes), false);
  }

  @Override
  public CompletableFuture<NewestPage> newest(Shard shard, String after) {
    return call(() -> log.newest(shard, after, PAGE_SIZE), false);
  }

  private void afterRead(
      Shard shard,
      long from,
      Duration wait,
      ReadOutcome outcome,
      Throwable failure,
      CompletableFuture<ReadOutcome> out) {
    if (failure != null) {
      out.completeExceptionally(failure);
      return;
    }
    boolean empty = outcome instanceof ReadOutcome.Batch b && b.records().isEmpty();
    if (!empty || wait.isZero()) {
      out.complete(outcome);
      return;
    }
    boolean[] answered = {false};
    Runnable answer =
        () -> {
          if (!answered[0]) {
            answered[0] = true;
            executeAndRespond(out, () -> log.read(shard, from), delay());
          }
        };
    log.afterNextAppend(answer);
    queue.after(wait, answer);
  }

  private <T> CompletableFuture<T> call(Supplier<T> effect, boolean writes) {
    CompletableFuture<T> out = new CompletableFuture<>();
    if (disconnected) {
      fail(out, StoreException.mayHaveRun("cut", null), TIMEOUT);
      return out;
    }
    if (random.nextDouble() >= faultShare) {
      queue.after(delay(), () -> executeAndRespond(out, effect, delay()));
      return out;
    }
    switch (random.nextInt(writes ? 4 : 2)) {
      case 0 -> fail(out, StoreException.notRun("refused"), delay());
      case 1 -> fail(out, StoreException.mayHaveRun("request lost", null), TIMEOUT);
      case 2 -> {
        queue.after(delay(), effect::get);
        fail(out, StoreException.mayHaveRun("response lost", null), TIMEOUT);
      }
      default -> {
        int late = random.nextInt(MIN_LATE_EXECUTION_MILLIS, MAX_LATE_EXECUTION_MILLIS);
        queue.after(Duration.ofMillis(late), effect::get);
        fail(out, StoreException.mayHaveRun("executed late", null), TIMEOUT);
      }
    }
    return out;
  }

  /**
   * Executes the call now and delivers the response after a delay, unless the process is
   * disconnected or dead by then.
   */
  private <T> void executeAndRespond(CompletableFuture<T> out, Supplier<T> effect, Duration later) {
    T result = effect.get();
    queue.after(
        later,
        () -> {
          if (!dead && !disconnected) {
            delivery.accept(() -> out.complete(result));
          } else if (!dead) {
            fail(out, StoreException.mayHaveRun("cut", null), TIMEOUT);
          }
        });
  }

  private <T> void fail(CompletableFuture<T> out, StoreException failure, Duration later) {
    queue.after(
        later,
        () -> {
          if (!dead) {
            delivery.accept(() -> out.completeExceptionally(failure));
          }
        });
  }

  private Duration delay() {
    return Duration.ofMillis(random.nextInt(1, MAX_DELAY_MILLIS));
  }
}
