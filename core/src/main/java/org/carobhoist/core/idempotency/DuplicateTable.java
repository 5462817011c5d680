package org.carobhoist.core.idempotency;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeSet;
import java.util.function.ToLongFunction;
import org.carobhoist.core.common.Clock;
import org.carobhoist.core.common.Refusal;
import org.carobhoist.core.common.RefusalReason;
import org.carobhoist.core.common.Verdict;

/**
 * What one run of a sidecar remembers of keyed requests: those that run, with everybody who waits
 * for them, and the outcome of those that have ended. A resend joins the run or gets the same
 * outcome. The table is bounded in keys, in bytes and in time. When it must forget, it forgets
 * ended requests with the oldest creation time first and raises its floor to the newest one
 * forgotten; a key at or below the floor that isn't known may have run and is never run again. A
 * running request is never forgotten.
 *
 * @param <A> the answers
 */
public final class DuplicateTable<A> {

  private static final Refusal FORGOTTEN =
      Refusal.mayHaveRun(
          RefusalReason.KEY_FORGOTTEN, "the key is older than what this home can remember");
  private static final Refusal REUSED =
      Refusal.notRun(RefusalReason.KEY_REUSED, "the key was used for another request");
  private static final Refusal FULL =
      Refusal.notRun(RefusalReason.OVERLOADED, "too many keyed requests are running");
  private static final Refusal TOO_LARGE =
      Refusal.mayHaveRun(
          RefusalReason.KEY_FORGOTTEN, "the request ran, but its answer was too large to keep");

  private final DuplicatePolicy policy;
  private final Clock clock;
  private final ToLongFunction<A> sizeOf;
  private final FloorRule floorRule;
  private final Map<RequestKey, Entry<A>> entries = new HashMap<>();
  private final TreeSet<Entry<A>> ended =
      new TreeSet<>(
          Comparator.<Entry<A>, Instant>comparing(e -> e.key.birth())
              .thenComparing(e -> e.key.toString()));
  private Instant floor = Instant.MIN;
  private long bytes;

  private static final class Entry<A> {
    private final RequestKey key;
    private final Fingerprint fingerprint;
    private final List<Waiter<A>> waiters = new ArrayList<>();
    private Optional<A> answer = Optional.empty();
    private Refusal refusal;
    private Duration endedAt;
    private long size;

    private Entry(RequestKey key, Fingerprint fingerprint) {
      this.key = key;
      this.fingerprint = fingerprint;
    }

    private boolean isRunning() {
      return endedAt == null;
    }

    private void tell(Waiter<A> waiter) {
      if (answer.isPresent()) {
        waiter.onAnswer(answer.get());
      } else {
        waiter.onRefused(refusal);
      }
    }
  }

  private DuplicateTable(
      DuplicatePolicy policy, Clock clock, ToLongFunction<A> sizeOf, FloorRule floorRule) {
    this.policy = policy;
    this.clock = clock;
    this.sizeOf = sizeOf;
    this.floorRule = floorRule;
  }

  /**
   * Returns an empty table.
   *
   * @param sizeOf the bytes that an answer takes
   */
  public static <A> DuplicateTable<A> create(
      DuplicatePolicy policy, Clock clock, ToLongFunction<A> sizeOf) {
    return create(policy, clock, sizeOf, FloorRule.NEWEST_FORGOTTEN);
  }

  static <A> DuplicateTable<A> create(
      DuplicatePolicy policy, Clock clock, ToLongFunction<A> sizeOf, FloorRule floorRule) {
    return new DuplicateTable<>(policy, clock, sizeOf, floorRule);
  }

  /** Returns whether the key is running or its outcome is kept. */
  public boolean knows(RequestKey key) {
    return entries.containsKey(key);
  }

  /**
   * Lets somebody wait for a known key. It is told at once if the request has ended or the key was
   * used for another request.
   *
   * @throws IllegalStateException if the key isn't known
   */
  public void join(RequestKey key, Fingerprint fingerprint, Waiter<A> waiter) {
    Entry<A> entry = entries.get(key);
    if (entry == null) {
      throw new IllegalStateException("unknown key: " + key);
    }
    if (!entry.fingerprint.equals(fingerprint)) {
      waiter.onRefused(REUSED);
    } else if (entry.isRunning()) {
      entry.waiters.add(waiter);
    } else {
      entry.tell(waiter);
    }
  }

  /**
   * Claims an unknown key for a run. If the claim is refused, the waiter is told at once.
   *
   * @param tenureFloor keys up to this creation time may have run elsewhere
   * @return whether the request must run now; its outcome is then reported to this table
   */
  public boolean claim(
      RequestKey key, Fingerprint fingerprint, Instant tenureFloor, Waiter<A> waiter) {
    expire();
    if (!key.birth().isAfter(floor) || !key.birth().isAfter(tenureFloor)) {
      waiter.onRefused(FORGOTTEN);
      return false;
    }
    if (!makeRoom()) {
      waiter.onRefused(FULL);
      return false;
    }
    Entry<A> entry = new Entry<>(key, fingerprint);
    entry.waiters.add(waiter);
    entries.put(key, entry);
    return true;
  }

  /** Takes the whole answer of a running request. */
  public void finish(RequestKey key, A answer) {
    Entry<A> entry = running(key);
    if (entry == null) {
      return;
    }
    entry.answer = Optional.of(answer);
    end(entry, sizeOf.applyAsLong(answer));
  }

  /**
   * Takes the failure of a running request. One that certainly didn't run is free to be claimed
   * again; of any other the verdict is kept.
   */
  public void fail(RequestKey key, Refusal refusal) {
    Entry<A> entry = running(key);
    if (entry == null) {
      return;
    }
    entry.refusal = refusal;
    if (refusal.verdict() == Verdict.NOT_RUN) {
      entries.remove(key);
      tellAll(entry);
      return;
    }
    end(entry, 0);
  }

  /** Takes somebody off a running request; returns whether nobody else waits for it. */
  public boolean leave(RequestKey key, Waiter<A> waiter) {
    Entry<A> entry = running(key);
    return entry != null && entry.waiters.remove(waiter) && entry.waiters.isEmpty();
  }

  /** Forgets outcomes that have been kept for the horizon. */
  public void expire() {
    Duration now = clock.elapsed();
    while (!ended.isEmpty() && now.minus(ended.first().endedAt).compareTo(policy.horizon()) > 0) {
      forgetOldest();
    }
  }

  /** Returns the creation time up to which unknown keys may have run. */
  public Instant floor() {
    return floor;
  }

  /** Returns the number of keys known. */
  public int size() {
    return entries.size();
  }

  /** Returns the bytes of the answers kept. */
  public long bytes() {
    return bytes;
  }

  private Entry<A> running(RequestKey key) {
    Entry<A> entry = entries.get(key);
    return entry != null && entry.isRunning() ? entry : null;
  }

  /** Tells everybody first, since the answer may have to be forgotten at once. */
  private void end(Entry<A> entry, long size) {
    tellAll(entry);
    entry.endedAt = clock.elapsed();
    entry.size = size;
    if (size > policy.maxBytes()) {
      entry.answer = Optional.empty();
      entry.refusal = TOO_LARGE;
      entry.size = 0;
    }
    bytes += entry.size;
    ended.add(entry);
    while (bytes > policy.maxBytes()) {
      forgetOldest();
    }
  }

  private void tellAll(Entry<A> entry) {
    List<Waiter<A>> waiters = List.copyOf(entry.waiters);
    entry.waiters.clear();
    waiters.forEach(entry::tell);
  }

  private boolean makeRoom() {
    while (entries.size() >= policy.maxEntries() && !ended.isEmpty()) {
      forgetOldest();
    }
    return entries.size() < policy.maxEntries();
  }

  private void forgetOldest() {
    Entry<A> entry = ended.pollFirst();
    entries.remove(entry.key);
    bytes -= entry.size;
    floor = floorRule.raise(floor, entry.key.birth());
  }
}
