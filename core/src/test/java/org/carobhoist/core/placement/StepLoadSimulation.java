package org.carobhoist.core.placement;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
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
import org.carobhoist.core.job.JobListener;
import org.carobhoist.core.job.JobView;
import org.carobhoist.core.job.PlainRecords;
import org.carobhoist.core.manifest.EngineSpec;
import org.carobhoist.core.manifest.JobRules;
import org.carobhoist.core.membership.EndpointAnnouncement;
import org.carobhoist.core.membership.EndpointPhase;
import org.carobhoist.core.membership.ServerEntry;
import org.carobhoist.core.placement.StepLoad.Setup;
import org.carobhoist.core.placement.StepLoad.StepRecord;
import org.carobhoist.core.placement.StepLoad.TrainerSetup;
import org.carobhoist.core.store.StoredRecord;
import org.carobhoist.core.testing.ManualClock;

/**
 * Trainers that share engines through a {@link JobCoordinator}, in simulated time. The time between
 * two events of a run grows with the number of runs at its engine. A trainer submits its next step
 * a fixed time after the previous one, but not before the previous one has its wanted groups and
 * has been trained on; groups that were incomplete are partly submitted again.
 */
final class StepLoadSimulation {

  private static final Duration STEP_PERIOD = Duration.ofSeconds(4);
  private static final Duration REPORT_PERIOD = Duration.ofMillis(150);
  private static final Duration LINK_DELAY = Duration.ofMillis(10);

  /** Time from a run's order until its prompt has been read. */
  private static final Duration START_DELAY = Duration.ofMillis(70);

  /** Share of the items that are three to four times as long as the others. */
  private static final double LONG_ITEM_SHARE = 0.03;

  private static final Duration PUBLISH_DELAY = Duration.ofMillis(60);
  private static final Duration SLICE = Duration.ofMillis(10);
  private static final int SLOTS = 8;
  private static final int TOKENS_PER_EVENT = 4;
  private static final String MODEL = "m";
  private static final ServiceName SERVICE = new ServiceName("lm");
  private static final Zone ZONE = new Zone("a");
  private static final InstanceId RUNNER = new InstanceId("runner");
  private static final WeightVersion VERSION = new WeightVersion(1);

  private final Setup setup;
  private final SplittableRandom random;
  private final ManualClock clock = new ManualClock();
  private final Map<JobId, JobHead> heads = new HashMap<>();
  private final Map<String, JobContent> contents = new HashMap<>();
  private final Map<ItemId, Integer> lengths = new HashMap<>();
  private final Map<InstanceId, Map<Long, Run>> engineRuns = new LinkedHashMap<>();
  private final Map<Long, Run> runs = new LinkedHashMap<>();
  private final PriorityQueue<Action> actions =
      new PriorityQueue<>(Comparator.comparing(Action::at).thenComparing(Action::number));
  private final List<Trainer> trainers = new ArrayList<>();
  private final List<StepRecord> steps = new ArrayList<>();
  private final Port port = new Port();
  private final JobView view =
      JobView.create(
          new PlainRecords(heads::get),
          bytes -> contents.get(new String(bytes, StandardCharsets.UTF_8)),
          1);
  private final JobCoordinator coordinator;
  private long nextAction;
  private long nextOffset;
  private int moves;

  StepLoadSimulation(Setup setup) {
    this.setup = setup;
    this.random = new SplittableRandom(setup.seed());
    EngineSpec spec = new EngineSpec(SLOTS, 1_000_000, TOKENS_PER_EVENT, List.of(MODEL));
    coordinator =
        JobCoordinator.create(view, port, PlacementPolicy.DEFAULT, clock, s -> Optional.of(spec));
    for (int i = 0; i < setup.engines(); i++) {
      addEngine(new InstanceId("e" + i));
    }
    for (int i = 0; i < setup.trainers().size(); i++) {
      trainers.add(new Trainer(i, setup.trainers().get(i), random.split()));
    }
    view.addListener(new Listener());
  }

  /** Runs the load to its end; returns the steps that got their wanted groups. */
  List<StepRecord> run() {
    coordinator.activate(1);
    for (Trainer t : trainers) {
      after(Duration.ofSeconds(1).plus(Duration.ofMillis(t.random.nextInt(4_000))), t::submit);
    }
    Duration nextTick = Duration.ZERO;
    while (clock.elapsed().compareTo(setup.duration()) < 0) {
      clock.advance(SLICE);
      progress();
      while (!actions.isEmpty() && actions.peek().at().compareTo(clock.elapsed()) <= 0) {
        actions.poll().task().run();
      }
      if (clock.elapsed().compareTo(nextTick) >= 0) {
        nextTick = clock.elapsed().plus(JobCoordinator.TICK);
        coordinator.tick(clock.now());
      }
    }
    return steps;
  }

  /** Returns the number of runs that the coordinator cancelled to move their items. */
  int moves() {
    return moves;
  }

  private void after(Duration delay, Runnable task) {
    actions.add(new Action(clock.elapsed().plus(delay), nextAction++, task));
  }

  private void addEngine(InstanceId id) {
    EndpointAnnouncement announcement =
        new EndpointAnnouncement(
            id,
            new Incarnation("0"),
            ZONE,
            SERVICE,
            EndpointKind.ENGINE,
            EndpointPhase.SERVING,
            0,
            0,
            SLOTS,
            VERSION,
            1);
    port.engines.add(
        new ServerEntry(
            announcement,
            "10.0.0.1",
            80,
            Map.of(MODEL, VERSION),
            new ServerEntry.WriteOrder(0, 0)));
    engineRuns.put(id, new LinkedHashMap<>());
  }

  private void progress() {
    for (Map<Long, Run> atEngine : engineRuns.values()) {
      double interval =
          setup.singleRunInterval().toNanos()
              * (1 + setup.slowdownPerRun() * (atEngine.size() - 1));
      double events = SLICE.toNanos() / interval;
      for (Run run : List.copyOf(atEngine.values())) {
        run.done = Math.min(run.length, run.done + events);
        boolean finished = run.done >= run.length;
        boolean due = clock.elapsed().minus(run.reportedAt).compareTo(REPORT_PERIOD) >= 0;
        if (finished) {
          end(run, RunOutcome.FINISHED);
          after(PUBLISH_DELAY, () -> publishResult(run.order.job(), run.order.item().id()));
        } else if (due && (int) run.done > run.reported) {
          report(run, RunOutcome.RUNNING);
        }
      }
    }
  }

  private void end(Run run, RunOutcome outcome) {
    runs.remove(run.order.run());
    engineRuns.get(run.order.engine()).remove(run.order.run());
    report(run, outcome);
  }

  private void report(Run run, RunOutcome outcome) {
    int count = (int) run.done - run.reported;
    TextDelta delta =
        new TextDelta(
            run.reported,
            count,
            count == 0
                ? new byte[0]
                : ("e" + "\ne".repeat(count - 1)).getBytes(StandardCharsets.UTF_8),
            Integer.toString((int) run.done),
            run.done >= 1 ? Set.of(VERSION) : Set.of());
    run.reported = (int) run.done;
    run.reportedAt = clock.elapsed();
    RunOrder o = run.order;
    RunReport report =
        new RunReport(o.run(), o.job(), o.item().id(), o.engine(), delta, outcome, VERSION);
    after(LINK_DELAY, () -> coordinator.onReport(report));
  }

  private void publishResult(JobId job, ItemId item) {
    boolean open = view.job(job).filter(j -> j.isOpen() && j.result(item).isEmpty()).isPresent();
    if (open) {
      append("result/" + job + "/" + item);
    }
  }

  private void append(String key) {
    byte[] value = key.substring(key.indexOf('/') + 1).getBytes(StandardCharsets.UTF_8);
    view.shardListener(0).onRecord(new StoredRecord(nextOffset++, key, value));
  }

  private record Action(Duration at, long number, Runnable task) {}

  private static final class Run {
    private final RunOrder order;
    private final int length;
    private double done;
    private int reported;
    private Duration reportedAt;

    private Run(RunOrder order, int length, Duration now) {
      this.order = order;
      this.length = length;
      this.done = order.prefix().eventCount();
      this.reported = order.prefix().eventCount();
      this.reportedAt = now;
    }
  }

  private final class Listener implements JobListener {
    @Override
    public void onAccepted(Job job) {
      coordinator.onAccepted(job);
    }

    @Override
    public void onResultPublished(Job job, ItemResult result) {
      coordinator.onResultPublished(job, result);
      trainers.forEach(t -> t.onResult(job));
    }

    @Override
    public void onEnded(Job job) {
      coordinator.onEnded(job);
    }
  }

  private final class Trainer {
    private final int index;
    private final TrainerSetup shape;
    private final SplittableRandom random;
    private final Map<String, Duration> groupTimes = new LinkedHashMap<>();
    private List<String> required = List.of();
    private JobId current;
    private Duration submittedAt = Duration.ZERO;
    private int step;

    private Trainer(int index, TrainerSetup shape, SplittableRandom random) {
      this.index = index;
      this.shape = shape;
      this.random = random;
    }

    private void submit() {
      List<String> incomplete = current == null ? List.of() : incompleteGroups();
      // Not all are submitted again; those that are come first in the list.
      required = incomplete.subList(0, Math.min(incomplete.size(), setup.resubmitted()));
      List<String> groups = new ArrayList<>(required);
      for (int g = 0; groups.size() < shape.groups(); g++) {
        groups.add("t" + index + "-s" + step + "-g" + g);
      }
      List<JobItem> items = new ArrayList<>();
      for (String group : groups) {
        for (int i = 0; i < shape.size(); i++) {
          items.add(item(group, i));
        }
      }
      current = new JobId("t" + index + "-" + step++);
      submittedAt = clock.elapsed();
      groupTimes.clear();
      JobRules rules = new JobRules(StepLoad.DEADLINE, Duration.ofSeconds(40), false);
      heads.put(
          current,
          new JobHead(current, SERVICE, "a.example", "jobs", clock.now(), rules, 3, items.size()));
      int stated = setup.statesWantedGroups() ? shape.wanted() : 0;
      contents.put(current.value(), new JobContent(step, MODEL, VERSION, stated, items));
      append("job/" + current);
    }

    private JobItem item(String group, int i) {
      ItemId id = new ItemId(group + "-" + i);
      int length = lengths.computeIfAbsent(id, k -> drawLength());
      double error = 1 + setup.estimateError() * (2 * hash(id) - 1);
      int estimate = Math.max(1, (int) (length * error)) * TOKENS_PER_EVENT;
      return new JobItem(id, group, "/p", List.of(), new byte[0], 50, 0, estimate);
    }

    /** Returns a length; a few items are several times as long as the others. */
    private int drawLength() {
      int usual = random.nextInt(30, 61);
      return random.nextDouble() < LONG_ITEM_SHARE ? usual * random.nextInt(3, 5) : usual;
    }

    private static double hash(ItemId id) {
      return new SplittableRandom(id.value().hashCode()).nextDouble();
    }

    private List<String> incompleteGroups() {
      return contents.get(current.value()).items().stream()
          .map(JobItem::group)
          .distinct()
          .filter(g -> !groupTimes.containsKey(g))
          .toList();
    }

    private void onResult(Job job) {
      if (!job.id().equals(current) || job.isEnded()) {
        return;
      }
      Set<String> open = new HashSet<>();
      for (JobItem i : job.content().items()) {
        if (job.result(i.id()).isEmpty()) {
          open.add(i.group());
        }
      }
      for (JobItem i : job.content().items()) {
        if (!open.contains(i.group())) {
          groupTimes.putIfAbsent(i.group(), clock.elapsed().minus(submittedAt));
        }
      }
      boolean enough = groupTimes.size() >= shape.wanted();
      if (enough && groupTimes.keySet().containsAll(required)) {
        finish(job);
      }
    }

    private void finish(Job job) {
      Duration took = clock.elapsed().minus(submittedAt);
      steps.add(new StepRecord(index, submittedAt, took, List.copyOf(groupTimes.values())));
      after(Duration.ofMillis(20), () -> append("end/" + job.id()));
      Duration trained = clock.elapsed().plus(Duration.ofMillis(random.nextInt(500, 1_000)));
      Duration planned = submittedAt.plus(STEP_PERIOD);
      Duration next = planned.compareTo(trained) > 0 ? planned : trained;
      after(next.minus(clock.elapsed()), this::submit);
    }
  }

  private final class Port implements PlacementPort {
    private final List<ServerEntry> engines = new ArrayList<>();

    @Override
    public Collection<ServerEntry> engines(ServiceName service) {
      return engines;
    }

    @Override
    public boolean isInRotation(InstanceId engine, String model) {
      return true;
    }

    @Override
    public boolean awaitsLoad(InstanceId engine, String model) {
      return false;
    }

    @Override
    public Collection<Runner> runners() {
      return List.of(new Runner(RUNNER, ZONE, 1_000));
    }

    @Override
    public void start(InstanceId runner, RunOrder order) {
      int length = lengths.get(order.item().id());
      Run run = new Run(order, length, clock.elapsed());
      runs.put(order.run(), run);
      after(START_DELAY, () -> begin(run));
    }

    private void begin(Run run) {
      if (runs.containsKey(run.order.run())) {
        engineRuns.get(run.order.engine()).put(run.order.run(), run);
      }
    }

    @Override
    public void cancel(InstanceId runner, long number) {
      after(
          LINK_DELAY,
          () -> Optional.ofNullable(runs.get(number)).ifPresent(r -> end(r, RunOutcome.CANCELLED)));
    }

    @Override
    public void publish(JobId job, ItemResult result) {
      after(PUBLISH_DELAY, () -> publishResult(job, result.item()));
    }

    @Override
    public void publishCompleted(Job job, JobItem item, RunText text) {
      after(PUBLISH_DELAY, () -> publishResult(job.id(), item.id()));
    }

    @Override
    public void reuse(Job job, JobItem item, ItemResult former, boolean scored) {
      after(PUBLISH_DELAY, () -> publishResult(job.id(), item.id()));
    }

    @Override
    public CompletableFuture<Void> storeCheckpoints(
        List<TextCheckpoint> texts, List<ItemKey> obsolete) {
      return CompletableFuture.completedFuture(null);
    }

    @Override
    public ItemResult givenUpResult(ItemId item) {
      return new ItemResult(item, true, Set.of(), new byte[0]);
    }

    @Override
    public void onEngineLeaving(InstanceId engine) {}

    @Override
    public void logDecision(Decision decision, JobId job, ItemId item, Object... fields) {
      if (decision == Decision.MOVED) {
        moves++;
      }
    }

    @Override
    public void logWaiting(ServiceName service, Map<WaitCause, Integer> causes) {}
  }
}
