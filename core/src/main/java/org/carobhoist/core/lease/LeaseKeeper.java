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
import org.carobhoist.core.store.KeyedTail;
import org.carobhoist.core.store.RecordStore;
import org.carobhoist.core.store.Snapshot;
import org.carobhoist.core.store.StoredRecord;
import org.carobhoist.core.store.TailListener;

/**
 * One process's part in the coordinator's lease. Every record is appended on condition that the
 * shard ends where this process has read to, so of two candidates one wins, and a holder that was
 * paused can't renew over its successor. The position of the record that begins a term, counted
 * from 1, is the term's number and the fencing number of everything ordered in it.
 *
 * <p>A candidate takes the lease after a silence that it has seen in the store itself, or at once
 * where the holder's process is known to have ended; while the store can't be read no silence
 * counts, so an outage doesn't change the holder. After a silence alone the new holder gives no
 * orders for a while, since the former one may still be there.
 */
public final class LeaseKeeper implements TailListener {

  /** Time between two calls of {@link #tick}. */
  public static final Duration TICK = Duration.ofMillis(100);

  private static final String KEY = "coordinator";

  private final InstanceId self;
  private final Incarnation incarnation;
  private final RecordStore store;
  private final LeaseCodec codec;
  private final LeasePort port;
  private final LeasePolicy policy;
  private final Clock clock;
  private final Predicate<LeaseEntry> ended;
  private BooleanSupplier prepared = () -> true;
  private KeyedTail tail;
  private Optional<LeaseEntry> last = Optional.empty();
  private Optional<LeaseEntry> former = Optional.empty();
  private long lastTerm;
  private Duration quietSince = Duration.ZERO;
  private boolean busy;
  private boolean retired;
  private Optional<Duration> vacantSince = Optional.empty();
  private Duration takesFrom = Duration.ZERO;
  private boolean held;
  private Duration sentAt = Duration.ZERO;
  private Duration renewedAt = Duration.ZERO;
  private Duration ordersFrom = Duration.ZERO;

  private LeaseKeeper(
      InstanceId self,
      Incarnation incarnation,
      RecordStore store,
      LeaseCodec codec,
      LeasePort port,
      LeasePolicy policy,
      Clock clock,
      Predicate<LeaseEntry> ended) {
    this.self = self;
    this.incarnation = incarnation;
    this.store = store;
    this.codec = codec;
    this.port = port;
    this.policy = policy;
    this.clock = clock;
    this.ended = ended;
  }

  /**
   * Returns the part of a process that holds nothing.
   *
   * @param ended whether the process that wrote a record is known to have ended
   */
  public static LeaseKeeper create(
      InstanceId self,
      Incarnation incarnation,
      RecordStore store,
      LeaseCodec codec,
      LeasePort port,
      LeasePolicy policy,
      Clock clock,
      Predicate<LeaseEntry> ended) {
    return new LeaseKeeper(self, incarnation, store, codec, port, policy, clock, ended);
  }

  /** Sets the tail of the lease's shard, whose listener this is. */
  public void follow(KeyedTail leaseTail) {
    this.tail = leaseTail;
  }

  /** Sets what has to hold before this process takes the lease; nothing has to by default. */
  public void takeOnlyIf(BooleanSupplier condition) {
    this.prepared = condition;
  }

  @Override
  public void onSnapshot(Snapshot snapshot) {
    if (snapshot.records().isEmpty()) {
      quietSince = clock.elapsed();
    }
    snapshot.records().forEach(this::onRecord);
  }

  @Override
  public void onRecord(StoredRecord stored) {
    quietSince = clock.elapsed();
    if (stored.isDrop()) {
      return;
    }
    LeaseEntry entry = codec.decode(stored.value());
    lastTerm = entry.term() == 0 ? stored.offset() + 1 : entry.term();
    last = Optional.of(entry);
    if (held && isOwn(entry) && busy) {
      renewedAt = sentAt;
    }
    if (held && !isOwn(entry)) {
      lose("another instance holds a newer term");
    }
    port.onHolder(entry);
  }

  @Override
  public void onRegained() {
    quietSince = clock.elapsed();
  }

  /** Renews or takes the lease where that is due; to be called every {@link #TICK}. */
  public void tick() {
    if (busy || retired || !tail.isLoaded()) {
      return;
    }
    if (held) {
      if (since(renewedAt).compareTo(policy.renewal()) >= 0) {
        append(new LeaseEntry(self, incarnation, lastTerm, false, Optional.empty()));
      }
    } else if (!isVacant() || !prepared.getAsBoolean()) {
      vacantSince = Optional.empty();
    } else if (mayTake()) {
      append(new LeaseEntry(self, incarnation, 0, false, Optional.empty()));
    }
  }

  /** Returns whether this process holds the lease as far as it knows. */
  public boolean isHeld() {
    return held;
  }

  /** Returns whether this process may give orders in its term now. */
  public boolean mayOrder() {
    return held
        && since(renewedAt).compareTo(policy.trust()) < 0
        && (clock.elapsed().compareTo(ordersFrom) >= 0 || former.map(this::isOver).orElse(true));
  }

  /** Returns the term of the newest record; it grows with each holder. */
  public long term() {
    return lastTerm;
  }

  /** Ends this process's part: gives the lease up if it is held, and takes it no more. */
  public void retire(Optional<InstanceId> heir) {
    retired = true;
    if (held) {
      append(new LeaseEntry(self, incarnation, lastTerm, true, heir));
      lose("the process stops");
    }
  }

  /**
   * Gives a lease up that is held, for one that has more to work with; this process takes it again
   * only after a while.
   */
  public void handOver(InstanceId heir, Duration holdOff) {
    if (held && !busy) {
      takesFrom = clock.elapsed().plus(holdOff);
      append(new LeaseEntry(self, incarnation, lastTerm, true, Optional.of(heir)));
      lose("handed over to " + heir);
    }
  }

  /** Returns whether others have had their time to take a lease that is vacant. */
  private boolean mayTake() {
    Duration now = clock.elapsed();
    if (vacantSince.isEmpty()) {
      vacantSince = Optional.of(now);
    }
    boolean heir = last.flatMap(LeaseEntry::heir).filter(self::equals).isPresent();
    Duration wait = heir ? Duration.ZERO : policy.handicap();
    return since(vacantSince.get()).compareTo(wait) >= 0 && now.compareTo(takesFrom) >= 0;
  }

  private boolean isVacant() {
    if (last.isEmpty()) {
      return true;
    }
    LeaseEntry entry = last.get();
    if (entry.released()) {
      boolean mine = entry.heir().isEmpty() || entry.heir().get().equals(self);
      return mine || since(quietSince).compareTo(policy.heirTime()) >= 0;
    }
    if (isOver(entry)) {
      return true;
    }
    Duration silentAt = quietSince.plus(policy.silence());
    return !tail.isLost() && tail.freshAsOf().compareTo(silentAt) >= 0;
  }

  private void append(LeaseEntry entry) {
    busy = true;
    sentAt = clock.elapsed();
    Duration began = sentAt;
    // The condition makes this the record before the new one; a read may show the new one first.
    Optional<LeaseEntry> before = last;
    KeyedRecord content = new KeyedRecord(KEY, codec.encode(entry));
    store
        .append(tail.shard(), List.of(content), OptionalLong.of(tail.next()))
        .whenComplete(
            (outcome, failure) -> onAnswer(entry, before, content, began, outcome, failure));
  }

  private void onAnswer(
      LeaseEntry entry,
      Optional<LeaseEntry> before,
      KeyedRecord content,
      Duration began,
      AppendOutcome outcome,
      Throwable failure) {
    busy = false;
    if (failure != null || outcome instanceof AppendOutcome.Conflict) {
      // Whether the record is there after all shows as soon as the shard is read on.
      busy = true;
      tail.barrier().whenComplete((ok, unread) -> busy = false);
      return;
    }
    tail.onAppended(((AppendOutcome.Appended) outcome).offset(), List.of(content));
    if (entry.released() || retired) {
      return;
    }
    if (!held) {
      held = true;
      former = before;
      ordersFrom = clock.elapsed().plus(policy.orderGap());
      port.onAcquired(lastTerm);
    }
    renewedAt = began;
  }

  /** Returns whether the writer of a record gives no order any more. */
  private boolean isOver(LeaseEntry entry) {
    boolean ownFormerRun = entry.holder().equals(self) && !entry.incarnation().equals(incarnation);
    return entry.released() || ownFormerRun || ended.test(entry);
  }

  private void lose(String why) {
    held = false;
    port.onLost(lastTerm, why);
  }

  private boolean isOwn(LeaseEntry entry) {
    return entry.holder().equals(self) && entry.incarnation().equals(incarnation);
  }

  private Duration since(Duration moment) {
    return clock.elapsed().minus(moment);
  }
}
