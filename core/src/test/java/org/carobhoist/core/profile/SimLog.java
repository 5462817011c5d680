package org.carobhoist.core.profile;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.carobhoist.core.testing.EventQueue;
import org.carobhoist.core.testing.ManualClock;

/** Simulated platform log, with the correct configuration state at every offset for comparison. */
final class SimLog {

  private static final Duration LATENCY = Duration.ofMillis(5);
  private static final Duration SLOW = Duration.ofSeconds(2);

  private final ManualClock clock;
  private final EventQueue queue;
  private final List<LogItem> items = new ArrayList<>();
  private final List<ProfileSnapshot> history = new ArrayList<>();
  private final List<String> accepted = new ArrayList<>();
  private final List<Runnable> waiters = new ArrayList<>();
  private final ConfigReplica reference;
  private long first = 1;
  boolean down;
  boolean slow;
  int answersToLose;
  int appendsToTear;

  SimLog(ManualClock clock, EventQueue queue) {
    this.clock = clock;
    this.queue = queue;
    this.reference = ConfigReplica.create(new AcceptanceRecorder());
    history.add(reference.snapshot());
  }

  /** Appends a record; answers with its offset, or -1 if the answer is lost or the log is down. */
  void append(ConfigRecord record, Consumer<Long> answer) {
    queue.after(latency(), () -> appendNow(record, answer));
  }

  void read(long from, Duration wait, Consumer<LogRead> answer, Runnable failed) {
    queue.after(latency(), () -> readNow(from, wait, answer, failed));
  }

  /** Deletes all records before the newest snapshot record, if there is one. */
  void truncateToNewestSnapshot() {
    items.stream()
        .filter(i -> i.body() instanceof ProfileSnapshot)
        .reduce((a, b) -> b)
        .ifPresent(i -> first = i.offset());
  }

  long next() {
    return items.size() + 1;
  }

  /** Returns the correct configuration state at an offset. */
  ProfileSnapshot stateAt(long offset) {
    return history.get((int) offset);
  }

  boolean isAccepted(String changeId) {
    return accepted.contains(changeId);
  }

  private void appendNow(ConfigRecord record, Consumer<Long> answer) {
    if (down) {
      answer.accept(-1L);
      return;
    }
    boolean torn = appendsToTear-- > 0;
    ConfigRecord body = torn ? new UnreadableRecord("torn by fault injection") : record;
    LogItem item = new LogItem(next(), clock.now().toEpochMilli(), body);
    items.add(item);
    reference.onLog(new LogRead(item.offset(), 1, item.offset() + 1, List.of(item)));
    history.add(reference.snapshot());
    List.copyOf(waiters).forEach(Runnable::run);
    waiters.clear();
    boolean lost = answersToLose-- > 0;
    answer.accept(lost || torn ? -1L : item.offset());
  }

  private void readNow(long from, Duration wait, Consumer<LogRead> answer, Runnable failed) {
    if (down) {
      failed.run();
      return;
    }
    if (from < next() || wait.isZero()) {
      long start = Math.max(from, first);
      List<LogItem> found = items.stream().filter(i -> i.offset() >= start).limit(5).toList();
      answer.accept(new LogRead(from, first, next(), found));
      return;
    }
    boolean[] done = new boolean[1];
    Runnable retry =
        () -> {
          if (!done[0]) {
            done[0] = true;
            readNow(from, Duration.ZERO, answer, failed);
          }
        };
    waiters.add(retry);
    queue.after(wait, retry);
  }

  private Duration latency() {
    return slow ? SLOW : LATENCY;
  }

  private final class AcceptanceRecorder implements ReplicaListener {

    @Override
    public void onChange(long offset, ProfileChange change, FoldOutcome outcome) {
      if (outcome.status() == FoldOutcome.Status.ACCEPTED) {
        accepted.add(change.changeId());
      }
    }

    @Override
    public void onOpaqueRecord(LogItem item, OpaqueRecord record) {}

    @Override
    public void onSkipped(long offset, String reason) {}

    @Override
    public void onInstalled(ProfileSnapshot snapshot) {}
  }
}
