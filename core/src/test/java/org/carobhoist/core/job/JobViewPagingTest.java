package org.carobhoist.core.job;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import org.carobhoist.core.common.ServiceName;
import org.carobhoist.core.common.WeightVersion;
import org.carobhoist.core.manifest.JobRules;
import org.carobhoist.core.store.AppendOutcome;
import org.carobhoist.core.store.KeyedRecord;
import org.carobhoist.core.store.NewestPage;
import org.carobhoist.core.store.ReadOutcome;
import org.carobhoist.core.store.RecordStore;
import org.carobhoist.core.store.Shard;
import org.carobhoist.core.store.ShardTailer;
import org.carobhoist.core.store.SharedLog;
import org.carobhoist.core.store.StoreException;
import org.carobhoist.core.testing.EventQueue;
import org.carobhoist.core.testing.ManualClock;
import org.junit.jupiter.api.Test;

/** A view that is loaded page by page while other processes append records. */
final class JobViewPagingTest {

  private static final Shard SHARD = new Shard("jobs", 0);
  private static final JobId JOB = new JobId("j9");
  private static final int PAGE_SIZE = 3;
  private static final Duration PAGE_DELAY = Duration.ofMillis(200);

  private final ManualClock clock = new ManualClock();
  private final EventQueue queue = new EventQueue(clock);
  private final SharedLog log = new SharedLog();
  private final JobView view =
      JobView.create(
          new PlainRecords(JobViewPagingTest::head),
          bytes -> new JobContent(0, "m", new WeightVersion(1), 0, List.of()),
          1);
  private final List<String> requestedPages = new ArrayList<>();
  private Runnable beforeNextPage = () -> {};
  private int pagesToFail;

  private static JobHead head(JobId id) {
    JobRules terms = new JobRules(Duration.ofSeconds(7), Duration.ofSeconds(40), false);
    return new JobHead(id, new ServiceName("lm"), "a.example", "jobs", Instant.EPOCH, terms, 3, 4);
  }

  private final class Store implements RecordStore {

    @Override
    public CompletableFuture<AppendOutcome> append(
        Shard shard, List<KeyedRecord> records, OptionalLong at) {
      throw new UnsupportedOperationException("the test appends to the log directly");
    }

    @Override
    public CompletableFuture<ReadOutcome> read(Shard shard, long from, Duration wait) {
      CompletableFuture<ReadOutcome> reply = new CompletableFuture<>();
      queue.after(Duration.ofMillis(4), () -> reply.complete(log.read(shard, from)));
      return reply;
    }

    @Override
    public CompletableFuture<ReadOutcome> readUpTo(Shard shard, long from, int maxBytes) {
      throw new UnsupportedOperationException("only tails read from this store");
    }

    @Override
    public CompletableFuture<NewestPage> newest(Shard shard, String after) {
      requestedPages.add(after);
      if (!after.isEmpty()) {
        beforeNextPage.run();
      }
      if (!after.isEmpty() && pagesToFail-- > 0) {
        return CompletableFuture.failedFuture(StoreException.notRun("rejected by the store"));
      }
      CompletableFuture<NewestPage> reply = new CompletableFuture<>();
      NewestPage page = log.newest(shard, after, PAGE_SIZE);
      queue.after(PAGE_DELAY, () -> reply.complete(page));
      return reply;
    }
  }

  private void append(String... keys) {
    for (String key : keys) {
      log.append(SHARD, List.of(new KeyedRecord(key, new byte[] {1})), OptionalLong.empty());
    }
  }

  private ShardTailer follow() {
    ShardTailer tail =
        ShardTailer.create(
            new Store(),
            SHARD,
            view.shardListener(0),
            clock,
            queue::schedule,
            Duration.ofMillis(100),
            () -> Duration.ofMillis(100));
    tail.start();
    return tail;
  }

  private List<String> publishedItems() {
    return view.job(JOB).orElseThrow().resultsFrom(0).stream().map(r -> r.item().value()).toList();
  }

  @Test
  void keepsResultsOfJobResubmittedBetweenTwoPages() {
    append("job/j9", "result/j9/b", "result/j9/a", "job/j1", "job/j2", "job/j3");
    beforeNextPage =
        () -> {
          beforeNextPage = () -> {};
          append("job/j9");
        };
    follow();
    queue.run(Duration.ofSeconds(1));
    assertThat(publishedItems()).containsExactly("b", "a").inOrder();
  }

  @Test
  void barrierIncludesJobAcceptedDuringInitialRead() {
    append("job/k1", "job/k2", "job/k3", "job/k4");
    ShardTailer tail = follow();
    append("job/j9");
    List<Boolean> known = new ArrayList<>();
    tail.barrier().thenRun(() -> known.add(view.job(JOB).isPresent()));
    queue.run(Duration.ofSeconds(2));
    assertThat(known).containsExactly(true);
  }

  @Test
  void doesNotRequestPagesAgainAfterFailures() {
    append("job/j9", "job/k1", "job/k2", "job/k3", "result/j9/a", "job/k4", "job/k5", "job/k6");
    pagesToFail = 2;
    follow();
    queue.run(Duration.ofSeconds(3));
    assertThat(requestedPages)
        .containsExactly("", "job/k2", "job/k2", "job/k2", "job/k5")
        .inOrder();
    assertThat(publishedItems()).containsExactly("a");
  }
}
