package org.carobhoist.core.store;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Function;
import org.carobhoist.core.testing.EventQueue;
import org.carobhoist.core.testing.ManualClock;

/**
 * Simulates processes that append items to one shard as a shared list. Any process may crash, be
 * disconnected or lose calls. Once a process has seen an item at a position, every process must see
 * the same item there from then on.
 */
final class ListingSimulation {

  private static final Shard SHARD = new Shard("list", 0);
  private static final Duration POLL_WAIT = Duration.ofMillis(500);
  private static final Duration LINGER = Duration.ofMillis(10);
  private static final int PROCESSES = 3;
  private static final int ITEMS = 12;
  private static final int FAULT_PERIOD_MILLIS = 8_000;
  private static final Duration RUN_TIME = Duration.ofSeconds(40);

  private final SharedLog log = new SharedLog();
  private final ManualClock clock = new ManualClock();
  private final EventQueue queue = new EventQueue(clock);
  private final SplittableRandom random;
  private final Rules rules;
  private final List<Process> processes = new ArrayList<>();
  private final List<String> observed = new ArrayList<>();
  private Optional<String> violation = Optional.empty();

  /** Safeguards of the appender that a test may disable. */
  record Rules(boolean conditional, boolean checksWanted) {

    static final Rules ALL = new Rules(true, true);
  }

  private final class Process implements TailListener {
    private final FaultyRecordStore link = new FaultyRecordStore(log, queue, random.split());
    private final Set<String> listed = new LinkedHashSet<>();
    private final ShardTailer tail;
    private final OrderedAppender appender;
    private boolean alive = true;

    private Process(double faultShare) {
      link.setFailureProbability(faultShare);
      RecordStore store = rules.conditional() ? link : new UnconditionalStore(link);
      tail = ShardTailer.create(store, SHARD, this, clock, this::schedule, POLL_WAIT);
      Function<String, AppendTiming> wanted =
          key ->
              rules.checksWanted() && listed.contains(key) ? AppendTiming.NEVER : AppendTiming.NOW;
      appender = OrderedAppender.create(store, tail, wanted, this::schedule, LINGER);
      tail.start();
    }

    private Runnable schedule(Duration delay, Runnable task) {
      boolean[] cancelled = {false};
      queue.after(
          delay,
          () -> {
            if (alive && !cancelled[0]) {
              task.run();
            }
          });
      return () -> cancelled[0] = true;
    }

    private void kill() {
      alive = false;
      link.kill();
    }

    @Override
    public void onSnapshot(Snapshot snapshot) {
      snapshot.records().forEach(this::onRecord);
    }

    @Override
    public void onRecord(StoredRecord stored) {
      if (alive && listed.add(stored.key())) {
        checkPositions(List.copyOf(listed));
      }
    }
  }

  private ListingSimulation(SplittableRandom random, Rules rules) {
    this.random = random;
    this.rules = rules;
  }

  /** Runs one schedule; returns the violation, or empty. */
  static Optional<String> run(SplittableRandom random, Rules rules) {
    return new ListingSimulation(random, rules).runToEnd();
  }

  private Optional<String> runToEnd() {
    double faultShare = random.nextDouble() * 0.4;
    for (int i = 0; i < PROCESSES; i++) {
      processes.add(new Process(faultShare));
    }
    for (int i = 0; i < ITEMS; i++) {
      String key = "item-" + random.nextInt(1_000) + "-" + i;
      offer(key, random.nextInt(PROCESSES));
      if (random.nextInt(3) == 0) {
        offer(key, random.nextInt(PROCESSES));
      }
    }
    int faultCount = random.nextInt(5);
    for (int i = 0; i < faultCount; i++) {
      queue.after(Duration.ofMillis(random.nextInt(FAULT_PERIOD_MILLIS)), this::injectFault);
    }
    queue.after(Duration.ofMillis(FAULT_PERIOD_MILLIS), this::stopCallFaults);
    queue.run(RUN_TIME);
    checkEnd();
    return violation;
  }

  private void offer(String key, int process) {
    int at = random.nextInt(FAULT_PERIOD_MILLIS);
    queue.after(
        Duration.ofMillis(at),
        () -> {
          Process p = processes.get(process);
          p.appender.append(new KeyedRecord(key, new byte[] {(byte) random.nextInt(1, 100)}));
        });
  }

  private void injectFault() {
    int index = random.nextInt(PROCESSES);
    switch (random.nextInt(3)) {
      case 0 -> {
        processes.get(index).kill();
        processes.set(index, new Process(random.nextDouble() * 0.3));
      }
      case 1 -> {
        FaultyRecordStore link = processes.get(index).link;
        link.setDisconnected(true);
        queue.after(Duration.ofMillis(random.nextInt(3_000)), () -> link.setDisconnected(false));
      }
      default -> log.expire(SHARD);
    }
  }

  private void stopCallFaults() {
    for (Process p : processes) {
      p.link.setFailureProbability(0);
    }
  }

  private void checkPositions(List<String> list) {
    for (int i = 0; i < list.size(); i++) {
      if (i == observed.size()) {
        observed.add(list.get(i));
      } else if (!observed.get(i).equals(list.get(i))) {
        violation =
            Optional.of("position " + i + " was " + observed.get(i) + ", is now " + list.get(i));
      }
    }
  }

  /** Checks that a newly started process and all others see the same list as before. */
  private void checkEnd() {
    Process newProcess = new Process(0);
    queue.run(RUN_TIME.plusSeconds(5));
    List<String> list = List.copyOf(newProcess.listed);
    if (violation.isEmpty() && !list.equals(observed)) {
      violation = Optional.of("a new process sees " + list + " instead of " + observed);
    }
    for (Process p : processes) {
      if (violation.isEmpty()
          && (p.appender.pendingCount() > 0 || !List.copyOf(p.listed).equals(list))) {
        violation = Optional.of("a process has not caught up: " + p.listed);
      }
    }
  }
}
