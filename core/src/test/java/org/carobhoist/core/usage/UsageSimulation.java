package org.carobhoist.core.usage;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.Predicate;
import org.carobhoist.core.account.AccountName;
import org.carobhoist.core.common.Clock;
import org.carobhoist.core.common.Incarnation;
import org.carobhoist.core.common.InstanceId;
import org.carobhoist.core.duty.DutyCaller;
import org.carobhoist.core.duty.DutyPolicy;
import org.carobhoist.core.lease.LeaseCodec;
import org.carobhoist.core.lease.LeaseEntry;
import org.carobhoist.core.lease.LeaseListener;
import org.carobhoist.core.lease.LeaseManager;
import org.carobhoist.core.lease.LeasePolicy;
import org.carobhoist.core.store.FaultyRecordStore;
import org.carobhoist.core.store.RecordStore;
import org.carobhoist.core.store.Shard;
import org.carobhoist.core.store.ShardTailer;
import org.carobhoist.core.store.SharedLog;
import org.carobhoist.core.store.StoredRecord;
import org.carobhoist.core.store.UnconditionalStore;
import org.carobhoist.core.testing.EventQueue;
import org.carobhoist.core.testing.ManualClock;

/** Three gateways that serve requests, with the lease, a store, and the platform's API. */
final class UsageSimulation {

  static final Duration LEASE = Duration.ofSeconds(3);
  static final UsagePolicy POLICY = UsagePolicy.of(Duration.ofSeconds(5), Duration.ofSeconds(10));
  static final Shard USAGE = new Shard("usage", 0);
  static final int NODES = 3;

  private static final Shard LEASE_SHARD = new Shard("lease", 0);
  private static final Duration REQUEST_INTERVAL = Duration.ofMillis(50);
  private static final AccountName ACCOUNT = new AccountName("hule930");
  private static final DutyPolicy DUTY = DutyPolicy.of(50, LEASE);

  final ManualClock clock = new ManualClock();
  final EventQueue queue = new EventQueue(clock);
  final SharedLog log = new SharedLog();
  final SimulatedUsageApi api = new SimulatedUsageApi(clock, queue);
  final List<Node> nodes = new ArrayList<>();
  final Map<Long, Long> truth = new TreeMap<>();

  private final SplittableRandom random;
  private final Rules rules;
  private int incarnations;

  /** Protections that a mutation test switches off. */
  record Rules(boolean checksPermission, boolean conditionalAppends) {
    static final Rules ALL = new Rules(true, true);
  }

  UsageSimulation(long seed, Rules rules) {
    this.random = new SplittableRandom(seed);
    this.rules = rules;
    for (int i = 0; i < NODES; i++) {
      nodes.add(new Node(i, Duration.ZERO));
    }
  }

  static long windowOf(String body) {
    return Long.parseLong(body.substring(0, body.indexOf(' ')));
  }

  /** Runs for a time. */
  void run(Duration time) {
    Duration end = clock.elapsed().plus(time);
    queue.run(end);
    clock.advance(end.minus(clock.elapsed()));
  }

  /** Runs until a condition holds; fails after two minutes. */
  void runUntil(String what, Predicate<UsageSimulation> condition) {
    Duration limit = clock.elapsed().plusSeconds(120);
    while (!condition.test(this)) {
      run(Duration.ofMillis(1));
      if (clock.elapsed().compareTo(limit) > 0) {
        throw new AssertionError("never: " + what);
      }
    }
  }

  /** Returns the process that holds the lease; fails if there is none. */
  Node holder() {
    return nodes.stream().filter(Node::holds).findFirst().orElseThrow();
  }

  boolean hasHolder() {
    return nodes.stream().anyMatch(Node::holds);
  }

  /** Replaces a process by a new incarnation, killing it if it runs. */
  void restart(Node node) {
    node.kill();
    nodes.set(node.index, new Node(node.index, node.skew));
  }

  /** Returns the first window without a report among all that are due; empty if there is none. */
  Optional<String> missingReport() {
    long last = POLICY.windowAt(clock.now().toEpochMilli() - 10_500);
    if (api.bodies.isEmpty()) {
      return Optional.of("nothing was reported");
    }
    for (long w = api.bodies.keySet().iterator().next(); w <= last; w++) {
      if (!api.bodies.containsKey(w)) {
        return Optional.of("window " + w + " has no report");
      }
    }
    return Optional.empty();
  }

  /** Returns the largest difference between a reported count and the true one. */
  long largestError() {
    return api.bodies.keySet().stream()
        .mapToLong(w -> Math.abs(count(w) - truth.getOrDefault(w, 0L)))
        .max()
        .orElse(0);
  }

  /** Returns the reported count of a window. */
  long count(long window) {
    String body = api.bodies.get(window);
    int equals = body.indexOf('=');
    return equals < 0 ? 0 : Long.parseLong(body.substring(equals + 1, body.indexOf('}')));
  }

  /** Returns the longest time from the end of a window to its accepted report. */
  Duration longestDelay() {
    long start = clock.now().toEpochMilli() - clock.elapsed().toMillis();
    return api.acceptedAt.entrySet().stream()
        .map(e -> e.getValue().minusMillis(POLICY.endOf(e.getKey()) - start))
        .max(Duration::compareTo)
        .orElseThrow();
  }

  /** Returns the number of records of the ledger with the given key prefix. */
  long ledgerRecords(String prefix) {
    return log.records(USAGE).stream()
        .filter(r -> !r.isTombstone() && r.key().startsWith(prefix))
        .count();
  }

  Set<String> ledgerKeys() {
    Set<String> keys = new HashSet<>();
    for (StoredRecord r : log.records(USAGE)) {
      if (r.isTombstone()) {
        keys.remove(r.key());
      } else {
        keys.add(r.key());
      }
    }
    return keys;
  }

  private boolean isEnded(LeaseEntry entry) {
    return nodes.stream()
        .filter(n -> n.incarnation.equals(entry.incarnation()))
        .noneMatch(n -> n.alive || clock.elapsed().minus(n.diedAt).toMillis() < 300);
  }

  /** One gateway process. */
  final class Node implements LeaseListener, UsagePort, Clock {

    final int index;
    final FaultyRecordStore link = new FaultyRecordStore(log, queue, random.split());
    final UsageCounter counter = UsageCounter.create(POLICY);
    private final InstanceId id;
    private final Incarnation incarnation = new Incarnation("run-" + incarnations++);
    private final LeaseManager lease;
    private final FleetClock fleetClock = FleetClock.create(this);
    private final UsageReporter reporter = UsageReporter.create(counter, fleetClock, POLICY);
    private final UsageCoordinator coordinator;
    private final Set<Incarnation> attached = new HashSet<>();
    private Duration skew;
    private boolean alive = true;
    private boolean apiReachable = true;
    private Duration frozenUntil = Duration.ZERO;
    private Duration diedAt = Duration.ZERO;
    private long term = -1;
    private boolean serving = true;

    private Node(int index, Duration skew) {
      this.index = index;
      this.skew = skew;
      id = new InstanceId("entry-" + index);
      link.setDelivery(this::runIfAlive);
      lease =
          LeaseManager.create(
              id,
              incarnation,
              link,
              new TextLeaseCodec(),
              this,
              LeasePolicy.of(LEASE),
              this,
              UsageSimulation.this::isEnded);
      ShardTailer tail =
          ShardTailer.create(
              link, LEASE_SHARD, lease, this, this::schedule, Duration.ofMillis(400));
      lease.setTail(tail);
      tail.start();
      RecordStore store = rules.conditionalAppends() ? link : new UnconditionalStore(link);
      coordinator =
          UsageCoordinator.create(
              this,
              POLICY,
              DUTY,
              new TextUsageCodec(),
              fleetClock,
              this,
              store,
              l -> ShardTailer.create(store, USAGE, l, this, this::schedule, Duration.ZERO),
              () -> lease.mayIssueOrders() || !rules.checksPermission());
      schedule(DutyCaller.TICK, this::tick);
      schedule(REQUEST_INTERVAL, this::serve);
    }

    private void tick() {
      schedule(DutyCaller.TICK, this::tick);
      lease.tick();
      updateTerm();
      reporter.tick();
      coordinator.tick();
    }

    private void updateTerm() {
      long now = lease.isHeld() ? lease.term() : -1;
      if (now != term) {
        if (term >= 0 && (rules.checksPermission() || now >= 0)) {
          coordinator.onLost();
        }
        term = now;
        attached.clear();
        if (now >= 0) {
          coordinator.onAcquired(now);
        }
      }
      if (term >= 0) {
        nodes.stream().filter(n -> n.alive && attached.add(n.incarnation)).forEach(this::attach);
      }
    }

    private void attach(Node gateway) {
      long attachTerm = term;
      deliver(
          gateway,
          () ->
              gateway.reporter.onCoordinator(
                  attachTerm,
                  (reportTerm, wallMillis, windows) -> {
                    UsageSource source = new UsageSource(gateway.id, gateway.incarnation, windows);
                    deliver(this, () -> coordinator.onReport(reportTerm, source, wallMillis));
                  }));
    }

    private void deliver(Node to, Runnable message) {
      queue.after(Duration.ofMillis(random.nextInt(1, 8)), () -> to.runIfAlive(message));
    }

    private void serve() {
      schedule(REQUEST_INTERVAL, this::serve);
      if (serving) {
        truth.merge(POLICY.windowAt(clock.now().toEpochMilli()), 1L, Long::sum);
        counter.count(ACCOUNT, fleetClock.nowMillis());
      }
    }

    boolean holds() {
      return alive && lease.isHeld() && term >= 0;
    }

    void kill() {
      diedAt = alive ? clock.elapsed() : diedAt;
      alive = false;
      link.kill();
    }

    void freeze(Duration time) {
      frozenUntil = clock.elapsed().plus(time);
    }

    void setSkew(Duration value) {
      skew = value;
    }

    void setApiReachable(boolean value) {
      apiReachable = value;
    }

    void setServing(boolean value) {
      serving = value;
    }

    private Runnable schedule(Duration delay, Runnable task) {
      queue.after(delay, () -> runIfAlive(task));
      return () -> {};
    }

    private void runIfAlive(Runnable task) {
      if (!alive) {
        return;
      }
      if (frozenUntil.compareTo(clock.elapsed()) > 0) {
        queue.after(frozenUntil.minus(clock.elapsed()), () -> runIfAlive(task));
      } else {
        task.run();
      }
    }

    @Override
    public java.time.Instant now() {
      return clock.now().plus(skew);
    }

    @Override
    public Duration elapsed() {
      return clock.elapsed();
    }

    @Override
    public void acknowledge(
        InstanceId gateway, long ackTerm, long offsetMillis, long decidedThrough) {
      nodes.stream()
          .filter(n -> n.id.equals(gateway))
          .forEach(n -> deliver(n, () -> n.reporter.onAck(ackTerm, offsetMillis, decidedThrough)));
    }

    @Override
    public void send(long number, long sentTerm, byte[] body) {
      if (apiReachable) {
        api.call(
            id.value(),
            sentTerm,
            body,
            answer -> runIfAlive(() -> coordinator.onAnswer(number, answer)));
      }
    }

    @Override
    public void onDeciding(long window, int accounts, long requests) {}

    @Override
    public void onReported(long window, int attempts, boolean late) {}

    @Override
    public void onReportUnanswered(long window, int attempts) {}

    @Override
    public void onFenced(long fencedTerm) {}

    @Override
    public void onAcquired(long newTerm) {}

    @Override
    public void onAcquisitionFailed(long failedTerm, RuntimeException cause) {}

    @Override
    public void onLost(long lostTerm, String why) {}

    @Override
    public void onLeaseRecord(LeaseEntry entry) {}
  }

  /** Encodes lease records as text. */
  private static final class TextLeaseCodec implements LeaseCodec {

    @Override
    public byte[] encode(LeaseEntry e) {
      return String.join(
              " ",
              e.holder().value(),
              e.incarnation().value(),
              e.term() + "",
              e.released() + "",
              e.ordersSettled() + "",
              e.heldFor().toMillis() + "")
          .getBytes(StandardCharsets.US_ASCII);
    }

    @Override
    public LeaseEntry decode(byte[] bytes) {
      String[] p = new String(bytes, StandardCharsets.US_ASCII).split(" ");
      return new LeaseEntry(
          new InstanceId(p[0]),
          new Incarnation(p[1]),
          Long.parseLong(p[2]),
          Boolean.parseBoolean(p[3]),
          Optional.empty(),
          Boolean.parseBoolean(p[4]),
          Duration.ofMillis(Long.parseLong(p[5])));
    }
  }
}
