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
final class ListingWorld {

  private static final Shard SHARD = new Shard("list", 0);
  private static final Duration WAIT = Duration.ofMillis(500);
  private static final Duration LINGER = Duration.ofMillis(10);
  private static final int PROCESSES = 3;
  private static final int ITEMS = 12;
  private static final int TROUBLE_MILLIS = 8_000;
  private static final Duration END = Duration.ofSeconds(40);

  private final SharedLog log = new SharedLog();
  private final ManualClock clock = new ManualClock();
  private final EventQueue queue = new EventQueue(clock);
  private final SplittableRandom random;
  private final Rules rules;
  private final List<Process> processes = new ArrayList<>();
  private final List<String> shown = new ArrayList<>();
  private Optional<String> broken = Optional.empty();

  /** Safeguards of the appender that a test may disable. */
  record Rules(boolean conditional, boolean checksWanted) {

    static final Rules ALL = new Rules(true, true);
  }

  private final class Process implements TailListener {
    private final StoreLink link = new StoreLink(log, queue, random.split());
    private final Set<String> listed = new LinkedHashSet<>();
    private final KeyedTail tail;
    private final OrderedAppender appender;
    private boolean alive = true;

    private Process(double faultShare) {
      link.setFaultShare(faultShare);
      RecordStore store = rules.conditional() ? link : new UnconditionalStore(link);
      tail = KeyedTail.create(store, SHARD, this, clock, this::later, WAIT);
      Function<String, Want> wanted =
          key -> rules.checksWanted() && listed.contains(key) ? Want.NEVER : Want.NOW;
      appender = OrderedAppender.create(store, tail, wanted, this::later, LINGER);
      tail.start();
    }

    private Runnable later(Duration delay, Runnable task) {
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
        show(List.copyOf(listed));
      }
    }
  }

  private ListingWorld(SplittableRandom random, Rules rules) {
    this.random = random;
    this.rules = rules;
  }

  /** Runs one schedule; returns the violation, or empty. */
  static Optional<String> run(SplittableRandom random, Rules rules) {
    return new ListingWorld(random, rules).runToEnd();
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
    int troubles = random.nextInt(5);
    for (int i = 0; i < troubles; i++) {
      queue.after(Duration.ofMillis(random.nextInt(TROUBLE_MILLIS)), this::trouble);
    }
    queue.after(Duration.ofMillis(TROUBLE_MILLIS), this::heal);
    queue.run(END);
    checkEnd();
    return broken;
  }

  private void offer(String key, int process) {
    int at = random.nextInt(TROUBLE_MILLIS);
    queue.after(
        Duration.ofMillis(at),
        () -> {
          Process p = processes.get(process);
          p.appender.append(new KeyedRecord(key, new byte[] {(byte) random.nextInt(1, 100)}));
        });
  }

  private void trouble() {
    int index = random.nextInt(PROCESSES);
    switch (random.nextInt(3)) {
      case 0 -> {
        processes.get(index).kill();
        processes.set(index, new Process(random.nextDouble() * 0.3));
      }
      case 1 -> {
        StoreLink link = processes.get(index).link;
        link.setCut(true);
        queue.after(Duration.ofMillis(random.nextInt(3_000)), () -> link.setCut(false));
      }
      default -> log.expire(SHARD);
    }
  }

  private void heal() {
    for (Process p : processes) {
      p.link.setFaultShare(0);
    }
  }

  private void show(List<String> list) {
    for (int i = 0; i < list.size(); i++) {
      if (i == shown.size()) {
        shown.add(list.get(i));
      } else if (!shown.get(i).equals(list.get(i))) {
        broken = Optional.of("position " + i + " was " + shown.get(i) + ", is now " + list.get(i));
      }
    }
  }

  /** Checks that a newly started process and all others see the same list as before. */
  private void checkEnd() {
    Process fresh = new Process(0);
    queue.run(END.plusSeconds(5));
    List<String> list = List.copyOf(fresh.listed);
    if (broken.isEmpty() && !list.equals(shown)) {
      broken = Optional.of("a new process sees " + list + " instead of " + shown);
    }
    for (Process p : processes) {
      if (broken.isEmpty() && (p.appender.size() > 0 || !List.copyOf(p.listed).equals(list))) {
        broken = Optional.of("a process has not caught up: " + p.listed);
      }
    }
  }
}
