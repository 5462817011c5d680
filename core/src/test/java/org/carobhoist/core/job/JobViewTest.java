package org.carobhoist.core.job;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import org.carobhoist.core.common.ServiceName;
import org.carobhoist.core.common.WeightVersion;
import org.carobhoist.core.manifest.JobRules;
import org.carobhoist.core.store.AppendTiming;
import org.carobhoist.core.store.Snapshot;
import org.carobhoist.core.store.StoredRecord;
import org.carobhoist.core.store.TailListener;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

final class JobViewTest {

  private static final JobId JOB = new JobId("j1");
  private static final JobHead HEAD =
      new JobHead(
          JOB,
          new ServiceName("lm"),
          "a.example",
          "jobs",
          Instant.EPOCH,
          new JobRules(Duration.ofSeconds(7), Duration.ofSeconds(40), false),
          3,
          4);

  private final JobView view =
      JobView.create(
          new PlainRecords(id -> HEAD),
          bytes -> new JobContent(0, "m", new WeightVersion(1), 0, List.of()),
          1);
  private final TailListener shard = view.shardListener(0);
  private final Events events = new Events();

  private static final class Events implements JobListener {
    private final List<String> seen = new ArrayList<>();

    @Override
    public void onAccepted(Job job) {
      seen.add("accepted");
    }

    @Override
    public void onResultPublished(Job job, ItemResult result) {
      seen.add("published " + result.item());
    }

    @Override
    public void onEnded(Job job) {
      seen.add("ended");
    }

    @Override
    public void onDuplicateResult(Job job, ItemResult result, long offset) {
      seen.add("duplicate " + result.item());
    }

    @Override
    public void onUnreadableRecord(String key, long offset, String why) {
      seen.add("unreadable " + key);
    }
  }

  @BeforeEach
  void listen() {
    view.addListener(events);
  }

  private static StoredRecord stored(long offset, String key) {
    return new StoredRecord(offset, key, new byte[] {1});
  }

  private List<String> publishedItems() {
    return view.job(JOB).orElseThrow().resultsFrom(0).stream().map(r -> r.item().value()).toList();
  }

  @Test
  void resultsHaveTheOrderOfTheirRecords() {
    shard.onRecord(stored(0, "job/j1"));
    shard.onRecord(stored(1, "result/j1/b"));
    shard.onRecord(stored(2, "result/j1/a"));
    shard.onRecord(stored(3, "end/j1"));
    shard.onRecord(stored(4, "end/j1"));
    assertThat(publishedItems()).containsExactly("b", "a").inOrder();
    assertThat(events.seen)
        .containsExactly("accepted", "published b", "published a", "ended")
        .inOrder();
  }

  @Test
  void snapshotKeepsOrderOfResultsOfResubmittedJob() {
    shard.onSnapshot(
        Snapshot.of(
            List.of(
                stored(1, "result/j1/b"),
                stored(2, "result/j1/a"),
                stored(5, "job/j1"),
                stored(6, "end/j1"))));
    assertThat(publishedItems()).containsExactly("b", "a").inOrder();
    assertThat(view.job(JOB).orElseThrow().isEnded()).isTrue();
  }

  @Test
  void snapshotAppendsMissedResultsAfterKnownOnes() {
    shard.onRecord(stored(0, "job/j1"));
    shard.onRecord(stored(1, "result/j1/b"));
    shard.onSnapshot(
        Snapshot.of(
            List.of(
                stored(0, "job/j1"),
                stored(1, "result/j1/b"),
                stored(2, "result/j1/c"),
                stored(3, "result/j1/a"))));
    assertThat(publishedItems()).containsExactly("b", "c", "a").inOrder();
    assertThat(events.seen).doesNotContain("duplicate b");
  }

  @Test
  void jobsWithUnknownPartsAreNotAmongTheUsableOnes() {
    shard.onRecord(stored(0, "part/j1/0/2"));
    assertThat(view.jobs()).isEmpty();
    assertThat(view.allJobs()).hasSize(1);
    shard.onRecord(stored(1, "part/j1/1/2"));
    assertThat(view.jobs()).hasSize(1);
    assertThat(events.seen).containsExactly("accepted");
  }

  @Test
  void listenerThatThrowsDoesNotKeepOthersFromLearningOfAnEnd() {
    List<String> reported = new ArrayList<>();
    Thread.currentThread().setUncaughtExceptionHandler((t, e) -> reported.add(e.getMessage()));
    JobView other = JobView.create(new PlainRecords(id -> HEAD), bytes -> null, 1);
    other.addListener(new FailingListener());
    other.addListener(events);
    other.shardListener(0).onRecord(stored(0, "job/j1"));
    other.shardListener(0).onRecord(stored(1, "end/j1"));
    Thread.currentThread().setUncaughtExceptionHandler(null);
    assertThat(events.seen).containsExactly("accepted", "ended").inOrder();
    assertThat(reported).containsExactly("simulated failure at an end");
    assertThat(other.job(JOB).orElseThrow().contentBytes()).isEqualTo(0);
  }

  private static final class FailingListener implements JobListener {

    @Override
    public void onResultPublished(Job job, ItemResult result) {}

    @Override
    public void onEnded(Job job) {
      throw new IllegalStateException("simulated failure at an end");
    }
  }

  @Test
  void removesJobThatIsMissingInSnapshot() {
    shard.onRecord(stored(0, "job/j1"));
    shard.onSnapshot(Snapshot.of(List.of()));
    assertThat(view.job(JOB).isPresent()).isFalse();
    assertThat(events.seen).containsExactly("accepted", "ended").inOrder();
  }

  @Test
  void reportsSecondResultOfAnItem() {
    shard.onRecord(stored(0, "job/j1"));
    shard.onRecord(stored(1, "result/j1/b"));
    shard.onRecord(stored(2, "result/j1/b"));
    assertThat(publishedItems()).containsExactly("b");
    assertThat(events.seen).contains("duplicate b");
  }

  @Test
  void reportsAndSkipsUnreadableRecord() {
    shard.onRecord(stored(0, "other/j1"));
    shard.onRecord(stored(1, "job/j1"));
    assertThat(events.seen).containsExactly("unreadable other/j1", "accepted").inOrder();
  }

  @Test
  void acceptsOneResultPerItemAndOnlyForAnOpenJob() {
    assertThat(view.appendTiming("result/j1/a")).isEqualTo(AppendTiming.LATER);
    shard.onRecord(stored(0, "job/j1"));
    assertThat(view.appendTiming("result/j1/a")).isEqualTo(AppendTiming.NOW);
    shard.onRecord(stored(1, "result/j1/a"));
    assertThat(view.appendTiming("result/j1/a")).isEqualTo(AppendTiming.NEVER);
    shard.onRecord(stored(2, "end/j1"));
    assertThat(view.appendTiming("result/j1/b")).isEqualTo(AppendTiming.NEVER);
  }

  /** Guards against a heap that fills up with the bodies of jobs that nobody reads any more. */
  @Test
  void contentOfEndedJobIsNotKept() {
    shard.onRecord(stored(1, "job/j1"));
    Job job = view.job(JOB).orElseThrow();
    assertThat(job.contentBytes()).isGreaterThan(0L);
    shard.onRecord(stored(2, "end/j1"));
    assertThat(job.contentBytes()).isEqualTo(0);
    assertThat(view.job(JOB)).isPresent();
    assertThat(job.item(new ItemId("i1"))).isEmpty();
    shard.onRecord(stored(3, "job/j1"));
    assertThat(job.contentBytes()).isEqualTo(0);
    assertThat(events.seen).containsExactly("accepted", "ended").inOrder();
  }
}
