package org.carobhoist.core.job;

import static com.google.common.truth.Truth.assertThat;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.stream.IntStream;
import org.carobhoist.core.common.WeightVersion;
import org.carobhoist.core.store.FaultyRecordStore;
import org.carobhoist.core.store.Shard;
import org.carobhoist.core.store.SharedLog;
import org.carobhoist.core.testing.EventQueue;
import org.carobhoist.core.testing.ManualClock;
import org.junit.jupiter.api.Test;

/** Entries in a store that is slow, rejects calls, loses responses or executes writes late. */
final class ResultEntriesTest {

  private static final List<Shard> SHARDS =
      IntStream.range(0, 4).mapToObj(i -> new Shard("texts", i)).toList();
  private static final JobId JOB = new JobId("j1");
  private static final Duration LONG_TIME = Duration.ofSeconds(60);

  private final ManualClock clock = new ManualClock();
  private final EventQueue queue = new EventQueue(clock);
  private final SharedLog log = new SharedLog();
  private final FaultyRecordStore link = new FaultyRecordStore(log, queue, new SplittableRandom(7));
  private final List<EntryReadStatistics> reads = new ArrayList<>();
  private final ResultEntries writer = entries("writer");
  private boolean wanted = true;

  private ResultEntries entries(String name) {
    return ResultEntries.create(link, SHARDS, this::after, clock, reads::add, name);
  }

  private Runnable after(Duration delay, Runnable task) {
    queue.after(delay, task);
    return () -> {};
  }

  private void advance(Duration time) {
    queue.run(clock.elapsed().plus(time));
  }

  private static ItemResult result(String item, int length) {
    byte[] entry = (item + "x".repeat(length)).getBytes(StandardCharsets.US_ASCII);
    return new ItemResult(new ItemId(item), false, Set.of(new WeightVersion(3)), entry);
  }

  private List<ItemResult> write(int count) {
    List<CompletableFuture<ItemResult>> placed = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      placed.add(writer.write(JOB, result("i" + i, 1_000), () -> wanted));
    }
    advance(LONG_TIME);
    return placed.stream().map(CompletableFuture::join).toList();
  }

  private List<String> load(ResultEntries reader, List<ItemResult> results) {
    CompletableFuture<List<ItemResult>> loaded = reader.load(results);
    advance(LONG_TIME);
    return loaded.join().stream()
        .map(r -> new String(r.pageEntry(), StandardCharsets.US_ASCII).split("x")[0])
        .toList();
  }

  @Test
  void anotherProcessReadsWrittenEntries() {
    List<ItemResult> placed = write(5);
    placed.forEach(r -> assertThat(r.pageEntry()).isEmpty());
    assertThat(placed.get(2).length()).isEqualTo(1_002);
    assertThat(load(entries("reader"), placed))
        .containsExactly("i0", "i1", "i2", "i3", "i4")
        .inOrder();
    assertThat(load(entries("reader-2"), placed.subList(3, 4))).containsExactly("i3");
  }

  @Test
  void smallEntriesStayInTheResultRecord() {
    ItemResult small = result("i0", 10);
    assertThat(writer.write(JOB, small, () -> true).join()).isEqualTo(small);
  }

  @Test
  void readsEntriesAfterHistoryHasExpired() {
    List<ItemResult> placed = write(5);
    SHARDS.forEach(log::expire);
    assertThat(load(entries("reader"), placed)).containsExactly("i0", "i1", "i2", "i3", "i4");
    assertThat(reads).hasSize(1);
    assertThat(reads.get(0).requested()).isEqualTo(5);
    assertThat(reads.get(0).offsetReads()).isEqualTo(1);
    assertThat(reads.get(0).keyPages()).isAtLeast(1);
  }

  @Test
  void doesNotReadEntriesOfOtherJobs() {
    List<ItemResult> requested = new ArrayList<>();
    for (String job : List.of("j1", "j5", "j9", "n1", "n5", "n9")) {
      for (int i = 0; i < 2; i++) {
        ItemResult one = result(job + "-" + i, 1_000);
        CompletableFuture<ItemResult> placed = writer.write(new JobId(job), one, () -> true);
        advance(Duration.ofSeconds(1));
        if (job.equals("n5")) {
          requested.add(placed.join());
        }
      }
    }
    assertThat(load(entries("reader"), requested)).containsExactly("n5-0", "n5-1");
    SHARDS.forEach(log::expire);
    assertThat(load(entries("later reader"), requested)).containsExactly("n5-0", "n5-1");
    reads.forEach(r -> assertThat(r.bytes()).isAtMost(3 * 1_100));
    assertThat(reads).hasSize(2);
  }

  @Test
  void writesAndReadsEntriesDespiteStoreFaults() {
    link.setFailureProbability(0.4);
    List<ItemResult> placed = write(30);
    link.setFailureProbability(0);
    List<String> read = load(entries("reader"), placed);
    assertThat(read).hasSize(30);
    for (int i = 0; i < 30; i++) {
      assertThat(read.get(i)).isEqualTo("i" + i);
    }
  }

  @Test
  void stopsRetryingEntryThatIsNoLongerWanted() {
    link.setDisconnected(true);
    CompletableFuture<ItemResult> placed = writer.write(JOB, result("i0", 1_000), () -> wanted);
    advance(Duration.ofSeconds(5));
    assertThat(placed.isDone()).isFalse();
    wanted = false;
    advance(Duration.ofSeconds(5));
    assertThat(placed.join().location()).isEmpty();
  }

  @Test
  void failsIfAnEntryIsMissing() {
    ItemResult missing =
        result("i0", 0).withLocation(new EntryLocation("text/j1/i0/nobody-1", 1, 12, 1_000));
    CompletableFuture<List<ItemResult>> loaded = entries("reader").load(List.of(missing));
    advance(LONG_TIME);
    assertThat(loaded.isCompletedExceptionally()).isTrue();
  }

  @Test
  void cacheSizeIsBounded() {
    List<ItemResult> placed = new ArrayList<>();
    for (int i = 0; i < 60; i++) {
      CompletableFuture<ItemResult> one = writer.write(JOB, result("i" + i, 150_000), () -> true);
      advance(Duration.ofSeconds(1));
      placed.add(one.join());
    }
    assertThat(writer.cachedBytes()).isAtMost(4 << 20);
  }
}
