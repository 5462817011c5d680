package org.carobhoist.core.placement;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.carobhoist.core.account.AccountName;
import org.carobhoist.core.common.EndpointKind;
import org.carobhoist.core.common.Incarnation;
import org.carobhoist.core.common.InstanceId;
import org.carobhoist.core.common.ServiceName;
import org.carobhoist.core.common.WeightVersion;
import org.carobhoist.core.common.Zone;
import org.carobhoist.core.job.ItemId;
import org.carobhoist.core.job.ItemResult;
import org.carobhoist.core.job.Job;
import org.carobhoist.core.job.JobContent;
import org.carobhoist.core.job.JobHead;
import org.carobhoist.core.job.JobId;
import org.carobhoist.core.job.JobItem;
import org.carobhoist.core.job.JobView;
import org.carobhoist.core.job.PlainRecords;
import org.carobhoist.core.manifest.EngineSpec;
import org.carobhoist.core.manifest.JobRules;
import org.carobhoist.core.membership.EndpointAnnouncement;
import org.carobhoist.core.membership.EndpointPhase;
import org.carobhoist.core.membership.ServerEntry;
import org.carobhoist.core.store.StoredRecord;
import org.carobhoist.core.testing.ManualClock;

/** A coordinator with a recording port, and helpers that submit jobs and report runs. */
abstract class JobCoordinatorFixture {

  static final ServiceName SERVICE = new ServiceName("lm");
  static final Zone ZONE = new Zone("a");
  static final WeightVersion V5 = new WeightVersion(5);
  static final WeightVersion V6 = new WeightVersion(6);
  static final WeightVersion V7 = new WeightVersion(7);
  static final byte[] UNDECODABLE = {0, 0, 0};
  static final InstanceId RUNNER = new InstanceId("entry-1");
  static final InstanceId OTHER_RUNNER = new InstanceId("entry-2");

  final ManualClock clock = new ManualClock();
  final FakePort port = new FakePort();
  final Map<JobId, JobHead> heads = new HashMap<>();
  final JobView view = JobView.create(new PlainRecords(heads::get), this::content, 1);
  final JobCoordinator coordinator =
      JobCoordinator.create(
          view,
          port,
          PlacementPolicy.DEFAULT,
          clock,
          service -> Optional.of(new EngineSpec(2, 100_000, 10, List.of("m"))));
  List<JobItem> items = List.of();
  WeightVersion minVersion = V6;
  boolean singleVersion;

  static final class FakePort implements PlacementPort {
    final List<ServerEntry> engines = new ArrayList<>();
    final Set<InstanceId> loading = new HashSet<>();
    final Set<InstanceId> awaitingLoad = new HashSet<>();
    final List<RunOrder> started = new ArrayList<>();
    final List<InstanceId> assignedRunners = new ArrayList<>();
    final List<Long> cancelled = new ArrayList<>();
    final List<String> published = new ArrayList<>();
    final List<ItemResult> results = new ArrayList<>();
    final List<String> scored = new ArrayList<>();
    final Map<ItemKey, TextCheckpoint> checkpoints = new HashMap<>();
    final List<InstanceId> leaving = new ArrayList<>();
    final List<Map<WaitCause, Integer>> waits = new ArrayList<>();
    final List<Runner> runners = new ArrayList<>(List.of(new Runner(RUNNER, ZONE, 1_000)));
    boolean storeAway;
    boolean reusesResults = true;
    int appends;

    @Override
    public Collection<ServerEntry> engines(ServiceName service) {
      return engines;
    }

    @Override
    public boolean isInRotation(InstanceId engine, String model) {
      return !loading.contains(engine);
    }

    @Override
    public boolean awaitsLoad(InstanceId engine, String model) {
      return awaitingLoad.contains(engine);
    }

    @Override
    public Collection<Runner> runners() {
      return runners;
    }

    @Override
    public void start(InstanceId runner, RunOrder order) {
      started.add(order);
      assignedRunners.add(runner);
    }

    @Override
    public void cancel(InstanceId runner, long run) {
      cancelled.add(run);
    }

    @Override
    public void publish(JobId job, ItemResult result) {
      published.add(job + " " + result.item() + (result.givenUp() ? " given up" : " done"));
      results.add(result);
    }

    @Override
    public void publishCompleted(Job job, JobItem item, RunText text) {
      if (item.reward().isPresent()) {
        scored.add(job.id() + " " + item.reward().get().id());
        return;
      }
      publish(job.id(), new ItemResult(item.id(), false, text.versions(), text.content()));
    }

    @Override
    public void reuse(Job job, JobItem item, ItemResult former, boolean sameScore) {
      if (!reusesResults) {
        return;
      }
      if (sameScore) {
        publish(job.id(), former);
      } else {
        scored.add(job.id() + " " + item.reward().orElseThrow().id());
      }
    }

    @Override
    public CompletableFuture<Void> storeCheckpoints(
        List<TextCheckpoint> texts, List<ItemKey> obsolete) {
      if (storeAway) {
        return CompletableFuture.failedFuture(new IllegalStateException("store away"));
      }
      texts.forEach(c -> checkpoints.put(c.key(), c));
      obsolete.forEach(checkpoints::remove);
      appends++;
      return CompletableFuture.completedFuture(null);
    }

    @Override
    public void onEngineLeaving(InstanceId engine) {
      leaving.add(engine);
    }

    @Override
    public ItemResult givenUpResult(ItemId item) {
      return new ItemResult(item, true, Set.of(), new byte[0]);
    }

    @Override
    public void logDecision(Decision decision, JobId job, ItemId item, Object... fields) {}

    @Override
    public void logWaiting(ServiceName service, Map<WaitCause, Integer> causes) {
      waits.add(causes);
    }

    RunOrder last() {
      return started.get(started.size() - 1);
    }
  }

  JobContent content(byte[] submitted) {
    if (Arrays.equals(submitted, UNDECODABLE)) {
      throw new IllegalArgumentException("simulated job that can't be decoded");
    }
    return new JobContent(0, "m", minVersion, 0, items);
  }

  static JobItem item(String id, int events) {
    return new JobItem(new ItemId(id), "g", "/p", List.of(), new byte[0], 10, 0, events * 10);
  }

  void addEngine(String id, WeightVersion version) {
    EndpointAnnouncement announcement =
        new EndpointAnnouncement(
            new InstanceId(id),
            new Incarnation("0"),
            ZONE,
            SERVICE,
            EndpointKind.ENGINE,
            EndpointPhase.SERVING,
            0,
            0,
            2,
            version,
            1);
    port.engines.add(
        new ServerEntry(
            announcement, "10.0.0.1", 80, Map.of("m", version), new ServerEntry.WriteOrder(0, 0)));
  }

  Job submit(String id, JobItem... jobItems) {
    return submit(id, Optional.empty(), jobItems);
  }

  /** Submits a job of an account, or one without an account. */
  Job submit(String id, Optional<AccountName> account, JobItem... jobItems) {
    items = List.of(jobItems);
    JobId jobId = new JobId(id);
    JobHead head = head(account.map(jobId::scopedTo).orElse(jobId), jobItems.length, account);
    heads.put(head.id(), head);
    view.shardListener(0)
        .onRecord(new StoredRecord(heads.size(), "job/" + head.id(), new byte[] {1}));
    Job job = view.job(head.id()).orElseThrow();
    job.content();
    coordinator.onAccepted(job);
    return job;
  }

  JobHead headOf(String id, int itemCount) {
    return head(new JobId(id), itemCount, Optional.empty());
  }

  private JobHead head(JobId id, int itemCount, Optional<AccountName> account) {
    return new JobHead(
        id,
        SERVICE,
        "a.example",
        "jobs",
        clock.now(),
        new JobRules(Duration.ofSeconds(7), Duration.ofSeconds(40), singleVersion),
        3,
        itemCount,
        account);
  }

  void activate() {
    coordinator.activate(1);
    advance(400);
  }

  void advance(long millis) {
    clock.advance(Duration.ofMillis(millis));
    coordinator.tick(clock.now());
  }

  static TextDelta events(int skipped, int count, WeightVersion... versions) {
    String text = "e" + "\ne".repeat(Math.max(0, count - 1));
    return new TextDelta(
        skipped,
        count,
        count == 0 ? new byte[0] : text.getBytes(StandardCharsets.UTF_8),
        Integer.toString(skipped + count),
        Set.of(versions));
  }

  static RunReport report(RunOrder o, TextDelta text, RunOutcome outcome) {
    return new RunReport(o.run(), o.job(), o.item().id(), o.engine(), text, outcome, V6);
  }
}
