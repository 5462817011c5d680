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
import org.carobhoist.core.store.KeyedTail;
import org.carobhoist.core.store.RecordStore;
import org.carobhoist.core.store.Shard;
import org.carobhoist.core.store.SharedLog;
import org.carobhoist.core.store.StoreLink;
import org.carobhoist.core.store.UnconditionalStore;
import org.carobhoist.core.testing.EventQueue;
import org.carobhoist.core.testing.ManualClock;

/**
 * Simulates several candidates for one lease. Any of them may be killed, frozen, cut off from the
 * store or stopped, and the store loses, delays and rejects calls. Checks that no two candidates
 * issue orders at the same time or in the same term, and that one of them issues orders after the
 * faults have ended.
 */
final class LeaseWorld {

  private static final Shard SHARD = new Shard("lease", 0);
  private static final Duration WAIT = Duration.ofMillis(400);
  private static final Duration ORDER_GAP = Duration.ofSeconds(3);
  private static final Duration LOOK = Duration.ofMillis(50);
  private static final int PROCESSES = 3;
  private static final int TROUBLE_MILLIS = 15_000;
  private static final Duration END = Duration.ofSeconds(30);

  private final SharedLog log = new SharedLog();
  private static final Duration HANDICAP = Duration.ofMillis(600);
  private static final Duration HOLD_OFF = Duration.ofSeconds(3);

  private final ManualClock clock = new ManualClock();
  private final EventQueue queue = new EventQueue(clock);
  private final SplittableRandom random;
  private final Rules rules;
  private final List<Candidate> candidates = new ArrayList<>();
  private final Map<Long, Candidate> ordersByTerm = new HashMap<>();
  private Optional<String> broken = Optional.empty();
  private int incarnations;

  /** Safety rules that a test may disable, to show that the check fails without them. */
  record Rules(boolean conditional, boolean trustEnds, boolean pausesCount, boolean gap) {

    static final Rules ALL = new Rules(true, true, true, true);
  }

  private final class Candidate implements LeasePort, Clock {
    private final StoreLink link = new StoreLink(log, queue, random.split());
    private final Incarnation incarnation = new Incarnation("run-" + incarnations++);
    private final int index;
    private final InstanceId id;
    private final LeaseKeeper keeper;
    private boolean alive = true;
    private boolean prepared = true;
    private Duration frozenUntil = Duration.ZERO;
    private Duration frozenTotal = Duration.ZERO;
    private Duration diedAt = Duration.ZERO;

    private Candidate(int index, double faultShare) {
      this.index = index;
      id = new InstanceId("entry-" + index);
      link.setFaultShare(faultShare);
      link.setDelivery(this::gated);
      RecordStore store = rules.conditional() ? link : new UnconditionalStore(link);
      keeper =
          LeaseKeeper.create(
              id,
              incarnation,
              store,
              new Codec(),
              this,
              policy(index),
              this,
              LeaseWorld.this::isEnded);
      KeyedTail tail = KeyedTail.create(store, SHARD, keeper, this, this::later, WAIT);
      keeper.follow(tail);
      keeper.takeOnlyIf(() -> prepared);
      tail.start();
      later(LeaseKeeper.TICK, this::tick);
    }

    private void tick() {
      keeper.tick();
      later(LeaseKeeper.TICK, this::tick);
    }

    private Runnable later(Duration delay, Runnable task) {
      queue.after(delay, () -> gated(task));
      return () -> {};
    }

    /** Runs a task unless the process is dead; delays the task while the process is frozen. */
    private void gated(Runnable task) {
      if (!alive) {
        return;
      }
      if (isFrozen()) {
        queue.after(frozenUntil.minus(clock.elapsed()), () -> gated(task));
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

    private boolean givesOrders() {
      return alive && !isFrozen() && keeper.mayOrder();
    }

    @Override
    public Instant now() {
      return clock.now();
    }

    @Override
    public Duration elapsed() {
      return rules.pausesCount() ? clock.elapsed() : clock.elapsed().minus(frozenTotal);
    }

    @Override
    public void onAcquired(long term) {}

    @Override
    public void onLost(long term, String why) {}

    @Override
    public void onHolder(LeaseEntry entry) {}
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
              heir)
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
          p[4].equals("-") ? Optional.empty() : Optional.of(new InstanceId(p[4])));
    }
  }

  private LeaseWorld(SplittableRandom random, Rules rules) {
    this.random = random;
    this.rules = rules;
  }

  /** Runs one schedule; returns the violated property, or empty. */
  static Optional<String> run(SplittableRandom random, Rules rules) {
    return new LeaseWorld(random, rules).runToEnd();
  }

  /** Processes with a handicap must acquire the lease only if no process without one is alive. */
  static Optional<String> runFirstTake(SplittableRandom random) {
    LeaseWorld world = new LeaseWorld(random, Rules.ALL);
    world.startAll();
    world.queue.run(Duration.ofSeconds(3));
    int holder = world.holder();
    if (holder < 0 || holder % 2 != 0) {
      return Optional.of("held by " + holder);
    }
    world.candidates.stream().filter(c -> c.index % 2 == 0).forEach(Candidate::kill);
    world.queue.run(Duration.ofSeconds(9));
    int next = world.holder();
    return next % 2 == 1 ? Optional.empty() : Optional.of("then held by " + next);
  }

  /** A process that isn't prepared must not acquire the lease until it is. */
  static Optional<String> runPreparation(SplittableRandom random) {
    LeaseWorld world = new LeaseWorld(random, Rules.ALL);
    world.startAll();
    world.candidates.forEach(c -> c.prepared = c.index == 1);
    world.queue.run(Duration.ofSeconds(3));
    if (world.holder() != 1) {
      return Optional.of("held by " + world.holder() + ", which isn't prepared");
    }
    world.candidates.get(1).kill();
    world.queue.run(Duration.ofSeconds(6));
    if (world.holder() >= 0) {
      return Optional.of("then held by " + world.holder() + ", which isn't prepared");
    }
    world.candidates.get(0).prepared = true;
    world.queue.run(Duration.ofSeconds(9));
    return world.holder() == 0 ? Optional.empty() : Optional.of("not held when prepared");
  }

  /** After a hand-over the heir must issue orders soon and remain the holder. */
  static Optional<String> runHandOver(SplittableRandom random) {
    LeaseWorld world = new LeaseWorld(random, Rules.ALL);
    world.startAll();
    world.queue.run(Duration.ofSeconds(4));
    int holder = world.holder();
    int heir = (holder + 1) % PROCESSES;
    Duration at = world.clock.elapsed().plus(LeaseKeeper.TICK);
    world.queue.after(LeaseKeeper.TICK, () -> world.handOverOnceItCan(holder));
    world.queue.run(at.plusSeconds(1));
    if (world.holder() != heir || !world.candidates.get(heir).givesOrders()) {
      return Optional.of(holder + " left it, then held by " + world.holder());
    }
    world.queue.run(at.plus(HOLD_OFF).plusSeconds(1));
    return world.holder() == heir ? Optional.empty() : Optional.of("then " + world.holder());
  }

  private void startAll() {
    for (int i = 0; i < PROCESSES; i++) {
      candidates.add(new Candidate(i, 0));
    }
  }

  /** Retries, since the lease can't be handed over while a renewal is in progress. */
  private void handOverOnceItCan(int index) {
    handOver(index);
    if (candidates.get(index).keeper.isHeld()) {
      queue.after(Duration.ofMillis(10), () -> handOverOnceItCan(index));
    }
  }

  private LeasePolicy policy(int index) {
    LeasePolicy p = LeasePolicy.of(rules.gap() ? ORDER_GAP : Duration.ZERO);
    Duration trust = rules.trustEnds() ? p.trust() : END;
    Duration handicap = index % 2 == 0 ? Duration.ZERO : HANDICAP;
    return new LeasePolicy(p.renewal(), p.silence(), trust, p.heirTime(), p.orderGap())
        .withHandicap(handicap);
  }

  private Optional<String> runToEnd() {
    double faultShare = random.nextInt(3) == 0 ? 0 : random.nextDouble() * 0.3;
    for (int i = 0; i < PROCESSES; i++) {
      candidates.add(new Candidate(i, faultShare));
    }
    int troubles = random.nextInt(1, 6);
    for (int i = 0; i < troubles; i++) {
      queue.after(Duration.ofMillis(random.nextInt(TROUBLE_MILLIS)), this::trouble);
    }
    queue.after(Duration.ofMillis(TROUBLE_MILLIS), this::heal);
    queue.after(LOOK, this::look);
    queue.run(END);
    if (broken.isEmpty() && candidates.stream().noneMatch(Candidate::givesOrders)) {
      broken = Optional.of("no process issues orders at the end");
    }
    return broken;
  }

  private void trouble() {
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
        candidate.link.setCut(true);
        queue.after(time, () -> candidate.link.setCut(false));
      }
      case 3 -> stop(index, time);
      case 4 -> handOver(index);
      default -> log.expire(SHARD);
    }
  }

  private int holder() {
    for (int i = 0; i < PROCESSES; i++) {
      if (candidates.get(i).alive && candidates.get(i).keeper.isHeld()) {
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
    candidate.gated(() -> candidate.keeper.retire(Optional.of(heir)));
    queue.after(grace, () -> restart(index, Duration.ofMillis(300)));
  }

  /** Makes a holder hand the lease over, as if it found itself too slow. */
  private void handOver(int index) {
    InstanceId heir = new InstanceId("entry-" + (index + 1) % PROCESSES);
    Candidate candidate = candidates.get(index);
    candidate.gated(() -> candidate.keeper.handOver(heir, HOLD_OFF));
  }

  private void heal() {
    for (Candidate c : candidates) {
      c.link.setFaultShare(0);
    }
  }

  /** Returns whether a process is known to have ended, which takes 300 ms. */
  private boolean isEnded(LeaseEntry entry) {
    return candidates.stream()
        .filter(c -> c.incarnation.equals(entry.incarnation()))
        .noneMatch(c -> c.alive || clock.elapsed().minus(c.diedAt).toMillis() < 300);
  }

  private void look() {
    List<Candidate> ordering = candidates.stream().filter(Candidate::givesOrders).toList();
    if (ordering.size() > 1) {
      broken = Optional.of("two processes issue orders at " + clock.elapsed());
    }
    for (Candidate c : ordering) {
      Candidate known = ordersByTerm.putIfAbsent(c.keeper.term(), c);
      if (known != null && known != c) {
        broken = Optional.of("two processes issued orders in term " + c.keeper.term());
      }
    }
    queue.after(LOOK, this::look);
  }
}
