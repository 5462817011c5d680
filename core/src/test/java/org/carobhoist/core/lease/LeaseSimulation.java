package org.carobhoist.core.lease;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import org.carobhoist.core.common.Clock;
import org.carobhoist.core.common.Incarnation;
import org.carobhoist.core.common.InstanceId;
import org.carobhoist.core.store.FaultyRecordStore;
import org.carobhoist.core.store.RecordStore;
import org.carobhoist.core.store.Shard;
import org.carobhoist.core.store.ShardTailer;
import org.carobhoist.core.store.SharedLog;
import org.carobhoist.core.store.UnconditionalStore;
import org.carobhoist.core.testing.EventQueue;
import org.carobhoist.core.testing.ManualClock;

/**
 * Simulates several candidates for one lease. Any of them may be killed, frozen, cut off from the
 * store or stopped, and the store loses, delays and rejects calls. Their orders take up to {@link
 * OrderGate#MAX_TRANSIT} to a server. Checks that no two candidates issue orders at the same time
 * or in the same term, that the server receives no order of a former term and none by turns, and
 * that one of the candidates issues orders after the faults have ended.
 */
final class LeaseSimulation {

  private static final Shard SHARD = new Shard("lease", 0);
  private static final Duration READ_WAIT = Duration.ofMillis(400);
  private static final Duration ORDER_GAP = Duration.ofSeconds(3);
  private static final Duration ORDER_TIMEOUT = Duration.ofMillis(800);
  private static final Duration CHECK_INTERVAL = Duration.ofMillis(50);
  private static final int PROCESSES = 3;
  private static final int FAULT_PHASE_MILLIS = 15_000;

  /** Less than the silence timeout of 1.5 s plus the wait of a read. */
  private static final Duration MAX_SUSPECT_TAKEOVER = Duration.ofMillis(1_400);

  private static final Duration END = Duration.ofSeconds(30);

  private final SharedLog log = new SharedLog();
  private static final Duration ACQUISITION_DELAY = Duration.ofMillis(600);
  private static final Duration HOLD_OFF = Duration.ofSeconds(3);

  private final ManualClock clock = new ManualClock();
  private final EventQueue queue = new EventQueue(clock);
  private final SplittableRandom random;
  private final Rules rules;
  private final List<Candidate> candidates = new ArrayList<>();
  private final Map<Long, Candidate> issuersByTerm = new HashMap<>();
  private Optional<String> violation = Optional.empty();
  private final List<Arrival> arrivals = new ArrayList<>();
  private int incarnations;
  private boolean suspicions;
  private boolean slowOrders;

  /** An order that has reached the server. */
  private record Arrival(Duration at, int machine, long term) {}

  /** Safety rules that a test may disable, to show that the check fails without them. */
  record Rules(
      boolean conditional,
      boolean validityExpires,
      boolean pausesCounted,
      boolean orderGap,
      boolean ordersAwaited) {

    static final Rules ALL = new Rules(true, true, true, true, true);
  }

  private final class Candidate implements LeaseListener, Clock {
    private final FaultyRecordStore link = new FaultyRecordStore(log, queue, random.split());
    private final Incarnation incarnation = new Incarnation("run-" + incarnations++);
    private final int index;
    private final InstanceId id;
    private final LeaseManager lease;
    private boolean alive = true;
    private boolean prepared = true;
    private boolean failsAsHolder;
    private Duration frozenUntil = Duration.ZERO;
    private Duration frozenTotal = Duration.ZERO;
    private Duration diedAt = Duration.ZERO;

    private Candidate(int index, double faultShare) {
      this.index = index;
      id = new InstanceId("entry-" + index);
      link.setFailureProbability(faultShare);
      link.setDelivery(this::runIfAlive);
      RecordStore store = rules.conditional() ? link : new UnconditionalStore(link);
      lease =
          LeaseManager.create(
              id,
              incarnation,
              store,
              new Codec(),
              this,
              policy(index),
              this,
              LeaseSimulation.this::isEnded);
      ShardTailer tail = ShardTailer.create(store, SHARD, lease, this, this::schedule, READ_WAIT);
      lease.setTail(tail);
      lease.setAcquireCondition(() -> prepared);
      lease.setSuspicion(entry -> suspicions && !entry.holder().equals(id));
      tail.start();
      schedule(LeaseManager.TICK, this::tick);
    }

    private void tick() {
      lease.tick();
      if (lease.mayIssueOrders()) {
        sendOrder();
      }
      schedule(LeaseManager.TICK, this::tick);
    }

    private void sendOrder() {
      if (rules.ordersAwaited()) {
        lease.onOrderSent();
      }
      long term = lease.term();
      Duration transit = randomTransit();
      queue.after(transit, () -> arrive(index, term));
      boolean answered = transit.compareTo(ORDER_TIMEOUT) < 0;
      if (rules.ordersAwaited()) {
        schedule(answered ? transit : ORDER_TIMEOUT, () -> lease.onOrderEnded(!answered));
      }
    }

    private Runnable schedule(Duration delay, Runnable task) {
      queue.after(delay, () -> runIfAlive(task));
      return () -> {};
    }

    /** Runs a task unless the process is dead; delays the task while the process is frozen. */
    private void runIfAlive(Runnable task) {
      if (!alive) {
        return;
      }
      if (isFrozen()) {
        queue.after(frozenUntil.minus(clock.elapsed()), () -> runIfAlive(task));
      } else {
        task.run();
      }
    }

    private boolean isFrozen() {
      return frozenUntil.compareTo(clock.elapsed()) > 0;
    }

    private void freeze(Duration time) {
      frozenUntil = clock.elapsed().plus(time);
      frozenTotal = frozenTotal.plus(time);
    }

    private void kill() {
      diedAt = alive ? clock.elapsed() : diedAt;
      alive = false;
      link.kill();
    }

    private boolean issuesOrders() {
      return alive && !isFrozen() && lease.mayIssueOrders();
    }

    @Override
    public Instant now() {
      return clock.now();
    }

    @Override
    public Duration elapsed() {
      return rules.pausesCounted() ? clock.elapsed() : clock.elapsed().minus(frozenTotal);
    }

    @Override
    public void onAcquired(long term) {
      if (failsAsHolder) {
        throw new IllegalStateException("simulated failure of a new holder");
      }
    }

    @Override
    public void onAcquisitionFailed(long term, RuntimeException cause) {}

    @Override
    public void onLost(long term, String why) {}

    @Override
    public void onLeaseRecord(LeaseEntry entry) {}
  }

  /** Encodes lease records as text. */
  private static final class Codec implements LeaseCodec {

    @Override
    public byte[] encode(LeaseEntry e) {
      String heir = e.heir().map(InstanceId::value).orElse("-");
      return String.join(
              " ",
              e.holder().value(),
              e.incarnation().value(),
              Long.toString(e.term()),
              Boolean.toString(e.released()),
              heir,
              Boolean.toString(e.ordersSettled()),
              Long.toString(e.heldFor().toMillis()))
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
          p[4].equals("-") ? Optional.empty() : Optional.of(new InstanceId(p[4])),
          Boolean.parseBoolean(p[5]),
          Duration.ofMillis(Long.parseLong(p[6])));
    }
  }

  private LeaseSimulation(SplittableRandom random, Rules rules) {
    this.random = random;
    this.rules = rules;
  }

  /** Runs one schedule; returns the violated property, or empty. */
  static Optional<String> run(SplittableRandom random, Rules rules) {
    return new LeaseSimulation(random, rules).runToEnd();
  }

  /** Runs one schedule in which all processes wrongly suspect each other of having ended. */
  static Optional<String> runWithSuspicions(SplittableRandom random) {
    LeaseSimulation simulation = new LeaseSimulation(random, Rules.ALL);
    simulation.suspicions = true;
    return simulation.runToEnd();
  }

  /** A suspected process that renews its lease must keep it; one that was killed loses it early. */
  static Optional<String> runSuspicion(SplittableRandom random) {
    LeaseSimulation simulation = new LeaseSimulation(random, Rules.ALL);
    simulation.suspicions = true;
    simulation.startAll();
    simulation.queue.run(Duration.ofSeconds(4));
    int holder = simulation.holder();
    simulation.queue.run(Duration.ofSeconds(8));
    if (simulation.holder() != holder) {
      return Optional.of(holder + " lost it to " + simulation.holder());
    }
    simulation.candidates.get(holder).kill();
    Duration killedAt = simulation.clock.elapsed();
    simulation.queue.run(killedAt.plus(MAX_SUSPECT_TAKEOVER));
    int next = simulation.holder();
    if (next < 0 || next == holder) {
      return Optional.of("not acquired early, held by " + next);
    }
    boolean ordersEarly = simulation.candidates.get(next).issuesOrders();
    return ordersEarly ? Optional.of("orders without the gap") : Optional.empty();
  }

  /** A process with an acquisition delay must acquire the lease only if no other is alive. */
  static Optional<String> runFirstAcquisition(SplittableRandom random) {
    LeaseSimulation simulation = new LeaseSimulation(random, Rules.ALL);
    simulation.startAll();
    simulation.queue.run(Duration.ofSeconds(3));
    int holder = simulation.holder();
    if (holder < 0 || holder % 2 != 0) {
      return Optional.of("held by " + holder);
    }
    simulation.candidates.stream().filter(c -> c.index % 2 == 0).forEach(Candidate::kill);
    simulation.queue.run(Duration.ofSeconds(9));
    int next = simulation.holder();
    return next % 2 == 1 ? Optional.empty() : Optional.of("then held by " + next);
  }

  /** A process that isn't prepared must not acquire the lease until it is. */
  static Optional<String> runPreparation(SplittableRandom random) {
    LeaseSimulation simulation = new LeaseSimulation(random, Rules.ALL);
    simulation.startAll();
    simulation.candidates.forEach(c -> c.prepared = c.index == 1);
    simulation.queue.run(Duration.ofSeconds(3));
    if (simulation.holder() != 1) {
      return Optional.of("held by " + simulation.holder() + ", which isn't prepared");
    }
    simulation.candidates.get(1).kill();
    simulation.queue.run(Duration.ofSeconds(6));
    if (simulation.holder() >= 0) {
      return Optional.of("then held by " + simulation.holder() + ", which isn't prepared");
    }
    simulation.candidates.get(0).prepared = true;
    simulation.queue.run(Duration.ofSeconds(9));
    return simulation.holder() == 0 ? Optional.empty() : Optional.of("not held when prepared");
  }

  /** A holder that can't start its duties must leave the lease to another process. */
  static Optional<String> runFailingHolder(SplittableRandom random) {
    LeaseSimulation simulation = new LeaseSimulation(random, Rules.ALL);
    simulation.startAll();
    simulation.candidates.stream().filter(c -> c.index != 1).forEach(c -> c.failsAsHolder = true);
    simulation.queue.run(Duration.ofSeconds(12));
    return simulation.holder() == 1
        ? Optional.empty()
        : Optional.of("held by " + simulation.holder() + ", which can't start its duties");
  }

  /** After a hand-over the heir must issue orders soon and remain the holder. */
  static Optional<String> runHandOver(SplittableRandom random) {
    LeaseSimulation simulation = new LeaseSimulation(random, Rules.ALL);
    simulation.startAll();
    simulation.queue.run(Duration.ofSeconds(4));
    int holder = simulation.holder();
    int heir = (holder + 1) % PROCESSES;
    Duration at = simulation.clock.elapsed().plus(LeaseManager.TICK);
    simulation.queue.after(LeaseManager.TICK, () -> simulation.handOverWhenPossible(holder));
    simulation.queue.run(at.plusSeconds(1));
    if (simulation.holder() != heir || !simulation.candidates.get(heir).issuesOrders()) {
      return Optional.of(holder + " left it, then held by " + simulation.holder());
    }
    simulation.queue.run(at.plus(HOLD_OFF).plusSeconds(1));
    return simulation.holder() == heir
        ? Optional.empty()
        : Optional.of("then " + simulation.holder());
  }

  /** Returns how long an order is on its way; some lose a segment or two. */
  private Duration randomTransit() {
    int maxMillis =
        slowOrders && random.nextInt(5) == 0 ? (int) OrderGate.MAX_TRANSIT.toMillis() : 50;
    return Duration.ofMillis(random.nextInt(1, maxMillis));
  }

  /** Checks an order that reaches the server, which knows no fencing. */
  private void arrive(int machine, long term) {
    Duration now = clock.elapsed();
    arrivals.removeIf(a -> now.minus(a.at()).compareTo(ORDER_GAP) >= 0);
    for (int i = 0; i < arrivals.size(); i++) {
      Arrival first = arrivals.get(i);
      if (first.term() > term) {
        violation = Optional.of("order of term " + term + " after " + first.term() + " at " + now);
      }
      boolean otherSince =
          arrivals.subList(i, arrivals.size()).stream().anyMatch(a -> a.machine() != machine);
      if (first.machine() == machine && otherSince) {
        violation = Optional.of("orders of " + machine + " by turns at " + now);
      }
    }
    arrivals.add(new Arrival(now, machine, term));
  }

  private void startAll() {
    for (int i = 0; i < PROCESSES; i++) {
      candidates.add(new Candidate(i, 0));
    }
  }

  /** Retries, since the lease can't be handed over while a renewal is in progress. */
  private void handOverWhenPossible(int index) {
    handOver(index);
    if (candidates.get(index).lease.isHeld()) {
      queue.after(Duration.ofMillis(10), () -> handOverWhenPossible(index));
    }
  }

  private LeasePolicy policy(int index) {
    LeasePolicy p = LeasePolicy.of(rules.orderGap() ? ORDER_GAP : Duration.ZERO);
    Duration validity = rules.validityExpires() ? p.validity() : END;
    Duration acquisitionDelay = index % 2 == 0 ? Duration.ZERO : ACQUISITION_DELAY;
    return new LeasePolicy(
            p.renewalInterval(), p.silenceTimeout(), validity, p.heirGracePeriod(), p.orderGap())
        .withAcquisitionDelay(acquisitionDelay);
  }

  private Optional<String> runToEnd() {
    slowOrders = true;
    double faultShare = random.nextInt(3) == 0 ? 0 : random.nextDouble() * 0.3;
    for (int i = 0; i < PROCESSES; i++) {
      candidates.add(new Candidate(i, faultShare));
    }
    int faults = random.nextInt(1, 6);
    for (int i = 0; i < faults; i++) {
      queue.after(Duration.ofMillis(random.nextInt(FAULT_PHASE_MILLIS)), this::injectFault);
    }
    queue.after(Duration.ofMillis(FAULT_PHASE_MILLIS), this::endFaults);
    queue.after(CHECK_INTERVAL, this::checkInvariants);
    queue.run(END);
    if (violation.isEmpty() && candidates.stream().noneMatch(Candidate::issuesOrders)) {
      violation = Optional.of("no process issues orders at the end");
    }
    return violation;
  }

  private void injectFault() {
    int index = random.nextInt(PROCESSES);
    int holder = holder();
    if (holder >= 0 && random.nextBoolean()) {
      index = holder;
    }
    Candidate candidate = candidates.get(index);
    Duration time = Duration.ofMillis(random.nextInt(200, 5_000));
    switch (random.nextInt(6)) {
      case 0 -> restart(index, time);
      case 1 -> candidate.freeze(time);
      case 2 -> {
        candidate.link.setDisconnected(true);
        queue.after(time, () -> candidate.link.setDisconnected(false));
      }
      case 3 -> stop(index, time);
      case 4 -> handOver(index);
      default -> log.expire(SHARD);
    }
  }

  private int holder() {
    for (int i = 0; i < PROCESSES; i++) {
      if (candidates.get(i).alive && candidates.get(i).lease.isHeld()) {
        return i;
      }
    }
    return -1;
  }

  private void restart(int index, Duration after) {
    candidates.get(index).kill();
    queue.after(
        after,
        () -> {
          candidates.get(index).kill();
          candidates.set(index, new Candidate(index, 0));
        });
  }

  /** Stops a process as planned; a holder names the next process as heir. */
  private void stop(int index, Duration grace) {
    InstanceId heir = new InstanceId("entry-" + (index + 1) % PROCESSES);
    Candidate candidate = candidates.get(index);
    candidate.runIfAlive(() -> candidate.lease.retire(Optional.of(heir)));
    queue.after(grace, () -> restart(index, Duration.ofMillis(300)));
  }

  /** Makes a holder hand the lease over, as if it found itself too slow. */
  private void handOver(int index) {
    InstanceId heir = new InstanceId("entry-" + (index + 1) % PROCESSES);
    Candidate candidate = candidates.get(index);
    candidate.runIfAlive(() -> candidate.lease.handOver(heir, HOLD_OFF));
  }

  private void endFaults() {
    for (Candidate c : candidates) {
      c.link.setFailureProbability(0);
    }
  }

  /**
   * Returns whether a process is known to have ended, which takes 300 ms; never if processes can
   * only suspect it.
   */
  private boolean isEnded(LeaseEntry entry) {
    return !suspicions
        && candidates.stream()
            .filter(c -> c.incarnation.equals(entry.incarnation()))
            .noneMatch(c -> c.alive || clock.elapsed().minus(c.diedAt).toMillis() < 300);
  }

  private void checkInvariants() {
    List<Candidate> issuers = candidates.stream().filter(Candidate::issuesOrders).toList();
    if (issuers.size() > 1) {
      violation = Optional.of("two processes issue orders at " + clock.elapsed());
    }
    for (Candidate c : issuers) {
      Candidate known = issuersByTerm.putIfAbsent(c.lease.term(), c);
      if (known != null && known != c) {
        violation = Optional.of("two processes issued orders in term " + c.lease.term());
      }
    }
    queue.after(CHECK_INTERVAL, this::checkInvariants);
  }
}
