package org.carobhoist.core.lease;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.BooleanSupplier;
import java.util.function.Predicate;
import org.carobhoist.core.common.Clock;
import org.carobhoist.core.common.Incarnation;
import org.carobhoist.core.common.InstanceId;
import org.carobhoist.core.store.AppendOutcome;
import org.carobhoist.core.store.KeyedRecord;
import org.carobhoist.core.store.RecordStore;
import org.carobhoist.core.store.ShardTailer;
import org.carobhoist.core.store.Snapshot;
import org.carobhoist.core.store.StoredRecord;
import org.carobhoist.core.store.TailListener;

/**
 * Acquires, renews and releases the coordinator's lease on behalf of one process. Every record is
 * appended on the condition that the shard ends where this process has read to. Therefore only one
 * of two candidates succeeds, and a holder that was paused can't renew the lease after another
 * process has acquired it. The position of the record that starts a term, counted from 1, is the
 * term's number and the fencing token of all orders in that term.
 *
 * <p>A candidate acquires the lease once it has seen no renewal in the store for a given time, or
 * at once if the holder's process is known to have ended. Time in which the store can't be read
 * doesn't count, so an outage of the store doesn't change the holder. If the lease was acquired
 * only because renewals were missing, the new holder issues no orders for a while, since the former
 * holder may still be running.
 */
public final class LeaseManager implements TailListener {

  /** Time between two calls of {@link #tick}. */
  public static final Duration TICK = Duration.ofMillis(100);

  private static final String KEY = "coordinator";

  private final InstanceId self;
  private final Incarnation incarnation;
  private final RecordStore store;
  private final LeaseCodec codec;
  private final LeaseListener port;
  private final LeasePolicy policy;
  private final Clock clock;
  private final Predicate<LeaseEntry> hasEnded;
  private BooleanSupplier acquireCondition = () -> true;
  private Predicate<LeaseEntry> seemsEnded = entry -> false;
  private ShardTailer tail;
  private Optional<LeaseEntry> lastEntry = Optional.empty();
  private Optional<LeaseEntry> predecessor = Optional.empty();
  private long lastTerm;
  private Duration lastRecordAt = Duration.ZERO;
  private boolean appendInProgress;
  private boolean retired;
  private Optional<Duration> vacantSince = Optional.empty();
  private Duration acquireNotBefore = Duration.ZERO;
  private boolean held;
  private Duration lastAppendAt = Duration.ZERO;
  private Duration renewedAt = Duration.ZERO;
  private Duration ordersNotBefore = Duration.ZERO;

  private LeaseManager(
      InstanceId self,
      Incarnation incarnation,
      RecordStore store,
      LeaseCodec codec,
      LeaseListener port,
      LeasePolicy policy,
      Clock clock,
      Predicate<LeaseEntry> hasEnded) {
    this.self = self;
    this.incarnation = incarnation;
    this.store = store;
    this.codec = codec;
    this.port = port;
    this.policy = policy;
    this.clock = clock;
    this.hasEnded = hasEnded;
  }

  /**
   * Returns an instance that doesn't hold the lease.
   *
   * @param hasEnded returns whether the process that wrote a record is known to have ended
   */
  public static LeaseManager create(
      InstanceId self,
      Incarnation incarnation,
      RecordStore store,
      LeaseCodec codec,
      LeaseListener port,
      LeasePolicy policy,
      Clock clock,
      Predicate<LeaseEntry> hasEnded) {
    return new LeaseManager(self, incarnation, store, codec, port, policy, clock, hasEnded);
  }

  /** Sets the tail of the lease's shard; this object must be its listener. */
  public void setTail(ShardTailer leaseTail) {
    this.tail = leaseTail;
  }

  /** Sets a condition for acquiring the lease; there is none by default. */
  public void setAcquireCondition(BooleanSupplier condition) {
    this.acquireCondition = condition;
  }

  /**
   * Sets a predicate that tells whether the process that wrote a record has probably ended. Its
   * lease is then acquired after a shorter silence. Orders wait as after any silence, because the
   * process may still be running.
   */
  public void setSuspicion(Predicate<LeaseEntry> suspicion) {
    this.seemsEnded = suspicion;
  }

  @Override
  public void onSnapshot(Snapshot snapshot) {
    if (snapshot.records().isEmpty()) {
      lastRecordAt = clock.elapsed();
    }
    snapshot.forEach(snapshot.records(), this::onRecord);
  }

  @Override
  public void onRecord(StoredRecord stored) {
    lastRecordAt = clock.elapsed();
    if (stored.isTombstone()) {
      return;
    }
    LeaseEntry entry = codec.decode(stored.value());
    lastTerm = entry.term() == 0 ? stored.offset() + 1 : entry.term();
    lastEntry = Optional.of(entry);
    if (held && isOwn(entry) && appendInProgress) {
      renewedAt = lastAppendAt;
    }
    if (held && !isOwn(entry)) {
      loseLease("another instance holds a newer term");
    }
    port.onLeaseRecord(entry);
  }

  @Override
  public void onReadRecovered() {
    lastRecordAt = clock.elapsed();
  }

  /** Renews or acquires the lease if that is due. Must be called every {@link #TICK}. */
  public void tick() {
    if (appendInProgress || retired || !tail.isLoaded()) {
      return;
    }
    if (held) {
      if (elapsedSince(renewedAt).compareTo(policy.renewalInterval()) >= 0) {
        append(new LeaseEntry(self, incarnation, lastTerm, false, Optional.empty()));
      }
    } else if (!isVacant() || !acquireCondition.getAsBoolean()) {
      vacantSince = Optional.empty();
    } else if (mayAcquire()) {
      append(new LeaseEntry(self, incarnation, 0, false, Optional.empty()));
    }
  }

  /** Returns whether this process holds the lease, as far as it knows. */
  public boolean isHeld() {
    return held;
  }

  /** Returns whether this process may currently issue orders in its term. */
  public boolean mayIssueOrders() {
    return held
        && elapsedSince(renewedAt).compareTo(policy.validity()) < 0
        && (clock.elapsed().compareTo(ordersNotBefore) >= 0
            || predecessor.map(this::hasStopped).orElse(true));
  }

  /** Returns the term of the newest record; it increases with each acquisition. */
  public long term() {
    return lastTerm;
  }

  /** Releases the lease if it is held, and never acquires it again. */
  public void retire(Optional<InstanceId> heir) {
    retired = true;
    if (held) {
      append(new LeaseEntry(self, incarnation, lastTerm, true, heir));
      loseLease("the process is shutting down");
    }
  }

  /**
   * Releases a held lease in favour of an instance with more resources. This process doesn't
   * acquire it again until the hold-off time has passed. Does nothing while an append is in
   * progress.
   */
  public void handOver(InstanceId heir, Duration holdOff) {
    if (held && !appendInProgress) {
      acquireNotBefore = clock.elapsed().plus(holdOff);
      append(new LeaseEntry(self, incarnation, lastTerm, true, Optional.of(heir)));
      loseLease("handed over to " + heir);
    }
  }

  /**
   * Returns whether this process may acquire the vacant lease: the delays in which it leaves the
   * lease to other instances are over.
   */
  private boolean mayAcquire() {
    Duration now = clock.elapsed();
    if (vacantSince.isEmpty()) {
      vacantSince = Optional.of(now);
    }
    boolean heir = lastEntry.flatMap(LeaseEntry::heir).filter(self::equals).isPresent();
    Duration wait = heir ? Duration.ZERO : policy.acquisitionDelay();
    return elapsedSince(vacantSince.get()).compareTo(wait) >= 0
        && now.compareTo(acquireNotBefore) >= 0;
  }

  private boolean isVacant() {
    if (lastEntry.isEmpty()) {
      return true;
    }
    LeaseEntry entry = lastEntry.get();
    if (entry.released()) {
      boolean availableToSelf = entry.heir().isEmpty() || entry.heir().get().equals(self);
      return availableToSelf || elapsedSince(lastRecordAt).compareTo(policy.heirGracePeriod()) >= 0;
    }
    if (hasStopped(entry)) {
      return true;
    }
    Duration silence = seemsEnded.test(entry) ? policy.suspicionTimeout() : policy.silenceTimeout();
    Duration expiresAt = lastRecordAt.plus(silence);
    return !tail.isFailing() && tail.freshAsOf().compareTo(expiresAt) >= 0;
  }

  private void append(LeaseEntry entry) {
    appendInProgress = true;
    lastAppendAt = clock.elapsed();
    Duration appendedAt = lastAppendAt;
    // The append succeeds only if this is the record right before the new one. It is saved now,
    // since a read may bring the new record before the append's response arrives.
    Optional<LeaseEntry> preceding = lastEntry;
    KeyedRecord record = new KeyedRecord(KEY, codec.encode(entry));
    store
        .append(tail.shard(), List.of(record), OptionalLong.of(tail.nextOffset()))
        .whenComplete(
            (outcome, failure) ->
                onAppendResult(entry, preceding, record, appendedAt, outcome, failure));
  }

  private void onAppendResult(
      LeaseEntry entry,
      Optional<LeaseEntry> preceding,
      KeyedRecord record,
      Duration appendedAt,
      AppendOutcome outcome,
      Throwable failure) {
    appendInProgress = false;
    if (failure != null || outcome instanceof AppendOutcome.Conflict) {
      // The record may have been stored nevertheless. Reading the shard to its end shows whether it
      // was; no other record is appended meanwhile.
      appendInProgress = true;
      tail.barrier().whenComplete((ok, readFailure) -> appendInProgress = false);
      return;
    }
    tail.onAppended(((AppendOutcome.Appended) outcome).offset(), List.of(record));
    if (entry.released() || retired) {
      return;
    }
    if (!held) {
      held = true;
      predecessor = preceding;
      ordersNotBefore = clock.elapsed().plus(policy.orderGap());
      port.onAcquired(lastTerm);
    }
    renewedAt = appendedAt;
  }

  /** Returns whether the writer of a record is known to issue no more orders. */
  private boolean hasStopped(LeaseEntry entry) {
    boolean isFormerIncarnation =
        entry.holder().equals(self) && !entry.incarnation().equals(incarnation);
    return entry.released() || isFormerIncarnation || hasEnded.test(entry);
  }

  private void loseLease(String why) {
    held = false;
    port.onLost(lastTerm, why);
  }

  private boolean isOwn(LeaseEntry entry) {
    return entry.holder().equals(self) && entry.incarnation().equals(incarnation);
  }

  private Duration elapsedSince(Duration moment) {
    return clock.elapsed().minus(moment);
  }
}
