package org.carobhoist.core.lease;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.BooleanSupplier;
import java.util.function.Predicate;
import org.carobhoist.core.common.Callbacks;
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
 * doesn't count, so an outage of the store doesn't change the holder. {@link OrderGate} decides
 * from when the new holder may issue orders. A holder that releases the lease issues no further
 * orders, and releases it once all of its orders have been answered.
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
  private Optional<LeaseEntry> runningPredecessor = Optional.empty();
  private Duration lastTermSince = Duration.ZERO;
  private Duration acquiredAt = Duration.ZERO;
  private long lastTerm;
  private Duration lastRecordAt = Duration.ZERO;
  private boolean appendInProgress;
  private boolean retired;
  private Optional<Duration> vacantSince = Optional.empty();
  private Duration acquireNotBefore = Duration.ZERO;
  private boolean held;
  private Duration lastAppendAt = Duration.ZERO;
  private Duration renewedAt = Duration.ZERO;
  private final OrderGate orders;
  private Optional<Release> release = Optional.empty();

  /** A release of the lease that waits for the answers to orders. */
  private record Release(Optional<InstanceId> heir, Duration requestedAt) {}

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
    this.orders = OrderGate.create(policy.orderGap(), clock);
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
    long term = entry.term() == 0 ? stored.offset() + 1 : entry.term();
    Duration heldSince = clock.elapsed().minus(entry.heldFor());
    if (term != lastTerm || heldSince.compareTo(lastTermSince) < 0) {
      lastTermSince = heldSince;
    }
    lastTerm = term;
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
    releaseIfDue();
    noticeEndOfPredecessor();
    if (appendInProgress || !tail.isLoaded()) {
      return;
    }
    if (held) {
      if (elapsedSince(renewedAt).compareTo(policy.renewalInterval()) >= 0) {
        append(LeaseEntry.held(self, incarnation, lastTerm, elapsedSince(acquiredAt)));
      }
    } else if (retired) {
      return;
    } else if (!isVacant() || !acquireCondition.getAsBoolean()) {
      vacantSince = Optional.empty();
    } else if (mayAcquire()) {
      append(LeaseEntry.held(self, incarnation, 0, Duration.ZERO));
    }
  }

  private void noticeEndOfPredecessor() {
    if (runningPredecessor.filter(hasEnded).isPresent()) {
      runningPredecessor = Optional.empty();
      orders.onPredecessorEnded();
    }
  }

  /** Returns whether this process holds the lease, as far as it knows. */
  public boolean isHeld() {
    return held;
  }

  /** Returns whether this process may currently issue orders in its term. */
  public boolean mayIssueOrders() {
    return held
        && release.isEmpty()
        && elapsedSince(renewedAt).compareTo(policy.validity()) < 0
        && orders.isOpen();
  }

  /** Called right before an order is sent; {@link #mayIssueOrders} must be true. */
  public void onOrderSent() {
    orders.onOrderSent();
  }

  /**
   * Called for each order that was sent, when it has been answered or its answer is no longer
   * awaited.
   *
   * @param mayArriveLater whether the order may still arrive at its server
   */
  public void onOrderEnded(boolean mayArriveLater) {
    orders.onOrderEnded(mayArriveLater);
    releaseIfDue();
  }

  /** Returns whether a release waits for the answers to orders. */
  public boolean isReleasing() {
    return release.isPresent();
  }

  /** Returns the term of the newest record; it increases with each acquisition. */
  public long term() {
    return lastTerm;
  }

  /**
   * Releases the lease if it is held, and never acquires it again. The lease is lost once all
   * orders have been answered and no append is in progress, after {@link
   * LeasePolicy#MAX_RELEASE_WAIT} at the latest.
   */
  public void retire(Optional<InstanceId> heir) {
    retired = true;
    beginRelease(heir);
  }

  /**
   * Releases a held lease in favour of an instance with more resources, as {@link #retire} does.
   * This process doesn't acquire it again until the hold-off time has passed.
   */
  public void handOver(InstanceId heir, Duration holdOff) {
    if (held && release.isEmpty()) {
      acquireNotBefore = clock.elapsed().plus(holdOff);
      beginRelease(Optional.of(heir));
    }
  }

  private void beginRelease(Optional<InstanceId> heir) {
    if (held) {
      release = Optional.of(new Release(heir, clock.elapsed()));
      releaseIfDue();
    }
  }

  private void releaseIfDue() {
    if (release.isEmpty()) {
      return;
    }
    Release pending = release.get();
    boolean overdue =
        elapsedSince(pending.requestedAt()).compareTo(LeasePolicy.MAX_RELEASE_WAIT) >= 0;
    if ((orders.isQuiet() && !appendInProgress) || overdue) {
      boolean settled = orders.isSettled();
      Duration heldFor = elapsedSince(acquiredAt);
      append(new LeaseEntry(self, incarnation, lastTerm, true, pending.heir(), settled, heldFor));
      loseLease(retired ? "the process is shutting down" : "handed over to " + pending.heir());
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
    if (isOfFormerRun(entry) || hasEnded.test(entry)) {
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
    Duration precedingTermSince = lastTermSince;
    KeyedRecord record = new KeyedRecord(KEY, codec.encode(entry));
    Callbacks.start(
            () -> store.append(tail.shard(), List.of(record), OptionalLong.of(tail.nextOffset())))
        .whenComplete(
            Callbacks.reported(
                (outcome, failure) ->
                    onAppendResult(
                        entry,
                        preceding,
                        precedingTermSince,
                        record,
                        appendedAt,
                        outcome,
                        failure)));
  }

  private void onAppendResult(
      LeaseEntry entry,
      Optional<LeaseEntry> preceding,
      Duration precedingTermSince,
      KeyedRecord record,
      Duration appendedAt,
      AppendOutcome outcome,
      Throwable failure) {
    appendInProgress = false;
    if (failure != null || outcome instanceof AppendOutcome.Conflict) {
      // The record may have been stored nevertheless. Reading the shard to its end shows whether it
      // was; no other record is appended meanwhile.
      appendInProgress = true;
      tail.barrier()
          .whenComplete(Callbacks.reported((ok, readFailure) -> appendInProgress = false));
      return;
    }
    tail.onAppended(((AppendOutcome.Appended) outcome).offset(), List.of(record));
    if (entry.released() || (retired && !held)) {
      return;
    }
    if (!held) {
      held = true;
      acquiredAt = clock.elapsed();
      boolean isOfFormerRun = preceding.filter(this::isOfFormerRun).isPresent();
      orders.onAcquired(preceding, isOfFormerRun, appendedAt.minus(precedingTermSince));
      runningPredecessor = preceding;
      renewedAt = appendedAt;
      activate();
      return;
    }
    renewedAt = appendedAt;
    releaseIfDue();
  }

  /** Starts the duties of the holder; a holder that can't perform them releases the lease. */
  private void activate() {
    try {
      port.onAcquired(lastTerm);
    } catch (RuntimeException e) {
      port.onAcquisitionFailed(lastTerm, e);
      acquireNotBefore = clock.elapsed().plus(policy.silenceTimeout());
      beginRelease(Optional.empty());
    }
  }

  /** Returns whether a record was written by a former run of this instance. */
  private boolean isOfFormerRun(LeaseEntry entry) {
    return entry.holder().equals(self) && !entry.incarnation().equals(incarnation);
  }

  private void loseLease(String why) {
    held = false;
    release = Optional.empty();
    runningPredecessor = Optional.empty();
    port.onLost(lastTerm, why);
  }

  private boolean isOwn(LeaseEntry entry) {
    return entry.holder().equals(self) && entry.incarnation().equals(incarnation);
  }

  private Duration elapsedSince(Duration moment) {
    return clock.elapsed().minus(moment);
  }
}
