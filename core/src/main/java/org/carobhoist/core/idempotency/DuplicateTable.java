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
 * Deduplicates keyed requests within one incarnation of a sidecar. Holds running requests with the
 * callers that wait for them, and the outcomes of ended requests. A resent request joins the
 * running one or receives the stored outcome.
 *
 * <p>The number of keys, the bytes of stored answers and the retention time are bounded. Ended
 * requests are evicted in order of their keys' creation times, oldest first, and the floor is
 * raised to the newest creation time evicted. An unknown key at or below the floor may have run
 * before and is therefore never run. Running requests are never evicted.
 *
 * @param <A> type of the answers
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
          Comparator.<Entry<A>, Instant>comparing(e -> e.key.creationTime())
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

    private void notifyOutcome(Waiter<A> waiter) {
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
   * @param sizeOf returns the size of an answer in bytes
   */
  public static <A> DuplicateTable<A> create(
      DuplicatePolicy policy, Clock clock, ToLongFunction<A> sizeOf) {
    return create(policy, clock, sizeOf, FloorRule.NEWEST_EVICTED);
  }

  static <A> DuplicateTable<A> create(
      DuplicatePolicy policy, Clock clock, ToLongFunction<A> sizeOf, FloorRule floorRule) {
    return new DuplicateTable<>(policy, clock, sizeOf, floorRule);
  }

  /** Returns whether a request with this key is running or its outcome is stored. */
  public boolean contains(RequestKey key) {
    return entries.containsKey(key);
  }

  /**
   * Registers a waiter for the outcome of a known key. The waiter is called before this method
   * returns if the request has ended or the key was used for a different request.
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
      entry.notifyOutcome(waiter);
    }
  }

  /**
   * Claims an unknown key for execution. If the claim is refused, the waiter is called before this
   * method returns.
   *
   * @param tenureFloor keys created at or before this time may have run at another sidecar
   * @return whether the caller must run the request now and report its outcome to this table
   */
  public boolean claim(
      RequestKey key, Fingerprint fingerprint, Instant tenureFloor, Waiter<A> waiter) {
    expire();
    if (!key.creationTime().isAfter(floor) || !key.creationTime().isAfter(tenureFloor)) {
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

  /** Records the complete answer of a running request and notifies its waiters. */
  public void finish(RequestKey key, A answer) {
    Entry<A> entry = running(key);
    if (entry == null) {
      return;
    }
    entry.answer = Optional.of(answer);
    end(entry, sizeOf.applyAsLong(answer));
  }

  /**
   * Records the failure of a running request and notifies its waiters. If the request certainly did
   * not run, its key can be claimed again; otherwise the refusal is stored as the outcome.
   */
  public void fail(RequestKey key, Refusal refusal) {
    Entry<A> entry = running(key);
    if (entry == null) {
      return;
    }
    entry.refusal = refusal;
    if (refusal.verdict() == Verdict.NOT_RUN) {
      entries.remove(key);
      notifyWaiters(entry);
      return;
    }
    end(entry, 0);
  }

  /** Removes a waiter from a running request; returns whether it was the last one. */
  public boolean removeWaiter(RequestKey key, Waiter<A> waiter) {
    Entry<A> entry = running(key);
    return entry != null && entry.waiters.remove(waiter) && entry.waiters.isEmpty();
  }

  /**
   * Evicts outcomes in order of their keys' creation times, oldest first, until the oldest one left
   * is still within the policy's retention time.
   */
  public void expire() {
    Duration now = clock.elapsed();
    while (!ended.isEmpty() && now.minus(ended.first().endedAt).compareTo(policy.retention()) > 0) {
      evictOldest();
    }
  }

  /** Returns the creation time up to which unknown keys may have run and are refused. */
  public Instant floor() {
    return floor;
  }

  /** Returns the number of known keys, running or ended. */
  public int size() {
    return entries.size();
  }

  /** Returns the total size of the stored answers in bytes. */
  public long bytes() {
    return bytes;
  }

  private Entry<A> running(RequestKey key) {
    Entry<A> entry = entries.get(key);
    return entry != null && entry.isRunning() ? entry : null;
  }

  /** Notifies the waiters first, since an answer that is too large is dropped right away. */
  private void end(Entry<A> entry, long size) {
    notifyWaiters(entry);
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
      evictOldest();
    }
  }

  private void notifyWaiters(Entry<A> entry) {
    List<Waiter<A>> waiters = List.copyOf(entry.waiters);
    entry.waiters.clear();
    waiters.forEach(entry::notifyOutcome);
  }

  private boolean makeRoom() {
    while (entries.size() >= policy.maxEntries() && !ended.isEmpty()) {
      evictOldest();
    }
    return entries.size() < policy.maxEntries();
  }

  private void evictOldest() {
    Entry<A> entry = ended.pollFirst();
    entries.remove(entry.key);
    bytes -= entry.size;
    floor = floorRule.raise(floor, entry.key.creationTime());
  }
}
