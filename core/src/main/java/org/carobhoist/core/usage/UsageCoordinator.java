package org.carobhoist.core.usage;

import java.time.Duration;
import java.util.Optional;
import java.util.SortedMap;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.BooleanSupplier;
import java.util.function.Function;
import org.carobhoist.core.account.AccountName;
import org.carobhoist.core.common.Clock;
import org.carobhoist.core.common.InstanceId;
import org.carobhoist.core.duty.DutyAnswer;
import org.carobhoist.core.duty.DutyCall;
import org.carobhoist.core.duty.DutyCaller;
import org.carobhoist.core.duty.DutyPolicy;
import org.carobhoist.core.duty.DutyPort;
import org.carobhoist.core.duty.DutyState;
import org.carobhoist.core.store.RecordStore;
import org.carobhoist.core.store.ShardTailer;
import org.carobhoist.core.store.TailListener;

/**
 * Decides and reports the usage of all gateways while this process holds the lease. It collects the
 * counts of the gateways, stores them so that they outlast all processes, decides each window once
 * and in order, and sends what was decided.
 */
public final class UsageCoordinator {

  /** Change of the median from which all gateways get a new offset without having reported. */
  private static final long CLOCK_TOLERANCE_MILLIS = 100;

  private final UsagePort port;
  private final UsagePolicy policy;
  private final UsageCodec codec;
  private final FleetClock fleetClock;
  private final UsageLedger ledger;
  private final DutyCaller caller;
  private final UsageAggregator aggregator = new UsageAggregator();
  private final ClockMedian median = new ClockMedian();
  private final TreeMap<InstanceId, Long> gatewayOrigins = new TreeMap<>();
  private boolean held;
  private boolean restored;
  private long term = -1;
  private Duration acquiredAt = Duration.ZERO;
  private Duration lastCheckpointAt = Duration.ZERO;
  private Optional<Long> announcedOrigin = Optional.empty();
  private long reported;
  private long late;
  private long repeated;

  private UsageCoordinator(
      UsagePort port,
      UsagePolicy policy,
      UsageCodec codec,
      FleetClock fleetClock,
      UsageLedger ledger,
      Function<DutyPort, DutyCaller> callers) {
    this.port = port;
    this.policy = policy;
    this.codec = codec;
    this.fleetClock = fleetClock;
    this.ledger = ledger;
    this.caller = callers.apply(new ReportDuty());
  }

  /**
   * Returns an instance that doesn't hold the lease.
   *
   * @param fleetClock the clock of this process as a gateway
   * @param leaseClock the clock of the lease, which includes suspension
   * @param tails creates a tailer of the shard for usage, which isn't started
   * @param mayIssueOrders returns whether this process may issue orders in its term right now
   */
  public static UsageCoordinator create(
      UsagePort port,
      UsagePolicy policy,
      DutyPolicy dutyPolicy,
      UsageCodec codec,
      FleetClock fleetClock,
      Clock leaseClock,
      RecordStore store,
      Function<TailListener, ShardTailer> tails,
      BooleanSupplier mayIssueOrders) {
    return new UsageCoordinator(
        port,
        policy,
        codec,
        fleetClock,
        new UsageLedger(store, codec, tails),
        duty ->
            DutyCaller.create(
                duty, dutyPolicy, leaseClock, mayIssueOrders, new SplittableRandom()));
  }

  /** Called when this process has acquired the lease. */
  public void onAcquired(long newTerm) {
    held = true;
    restored = false;
    term = newTerm;
    acquiredAt = elapsed();
    lastCheckpointAt = acquiredAt;
    announcedOrigin = Optional.empty();
    aggregator.clear();
    median.clear();
    gatewayOrigins.clear();
    ledger.open();
    caller.onAcquired(newTerm);
  }

  /** Called when this process no longer holds the lease. */
  public void onLost() {
    held = false;
    ledger.close();
    caller.onLost();
  }

  /** Called with a report of a gateway; one of another term is ignored. */
  public void onReport(long reportTerm, UsageSource source, long wallMillis) {
    if (!held || reportTerm != term) {
      return;
    }
    aggregator.add(source);
    long elapsedMillis = elapsed().toMillis();
    median.onReport(source.instance(), wallMillis, elapsedMillis);
    gatewayOrigins.put(source.instance(), wallMillis - elapsedMillis);
    acknowledge(source.instance());
  }

  /** Called with the platform's answer to a report. */
  public void onAnswer(long number, DutyAnswer answer) {
    caller.onAnswer(number, answer);
  }

  /** Does what is due. Must be called every {@link DutyCaller#TICK}. */
  public void tick() {
    if (!held) {
      return;
    }
    ledger.tick();
    if (isSettled()) {
      announceClock();
    }
    if (ledger.isReady()) {
      restore();
      advance();
    }
    caller.tick();
  }

  /** Returns whether the gateways had time to report to this coordinator. */
  private boolean isSettled() {
    return elapsed().minus(acquiredAt).compareTo(policy.settleTime()) >= 0;
  }

  /** Brings the counts in line with what the store holds. */
  private void restore() {
    if (!restored) {
      restored = true;
      ledger.checkpoint().ifPresent(c -> c.sources().forEach(aggregator::add));
    }
    if (ledger.takeAppendFailure()) {
      aggregator.markChanged();
    }
    if (!ledger.isEmpty()) {
      aggregator.onDecided(ledger.decidedThrough());
    }
  }

  /** Appends what is due, if anything; one append at a time. */
  private void advance() {
    boolean settled = isSettled();
    if (ledger.isEmpty()) {
      if (settled) {
        ledger.storeFirst(policy.windowAt(fleetClock.atElapsed(acquiredAt)) + 1);
      }
    } else if (settled && isDue(ledger.decidedThrough() + 1)) {
      decide(ledger.decidedThrough() + 1);
    } else if ((aggregator.isChanged() || ledger.hasNewReports())
        && elapsed().minus(lastCheckpointAt).compareTo(policy.checkpointInterval()) >= 0) {
      lastCheckpointAt = elapsed();
      ledger.storeCheckpoint(aggregator.takeSources());
    }
  }

  private boolean isDue(long window) {
    return fleetClock.nowMillis() >= policy.endOf(window) + policy.decisionDelay().toMillis();
  }

  private void decide(long window) {
    SortedMap<AccountName, Long> counts = aggregator.sums(window);
    long requests = counts.values().stream().mapToLong(Long::longValue).sum();
    port.onDeciding(window, counts.size(), requests);
    ledger.decide(codec.reportBody(window, counts));
  }

  /** Sends all gateways their offset if the median has changed. */
  private void announceClock() {
    long origin = origin();
    boolean changed =
        announcedOrigin.map(o -> Math.abs(o - origin) > CLOCK_TOLERANCE_MILLIS).orElse(true);
    if (changed) {
      announcedOrigin = Optional.of(origin);
      gatewayOrigins.keySet().forEach(this::acknowledge);
    }
  }

  private void acknowledge(InstanceId gateway) {
    long decidedThrough = ledger.isRead() && !ledger.isEmpty() ? ledger.decidedThrough() : 0;
    port.acknowledge(gateway, term, origin() - gatewayOrigins.get(gateway), decidedThrough);
  }

  /**
   * Returns the time of day of the fleet at which the monotonic clock of this process was zero.
   * Until the gateways had time to report, the clock that this process already has is a better
   * estimate than the median of a few.
   */
  private long origin() {
    long own = fleetClock.atElapsed(Duration.ZERO);
    return isSettled() ? median.origin().orElse(own) : own;
  }

  private Duration elapsed() {
    return fleetClock.monotonic().elapsed();
  }

  /** Returns the number of windows whose report this process has completed. */
  public long reportedCount() {
    return reported;
  }

  /** Returns the number of windows whose report was accepted after it was due. */
  public long lateCount() {
    return late;
  }

  /** Returns the number of windows whose report was sent more than once by this process. */
  public long repeatedCount() {
    return repeated;
  }

  /** Returns the number of windows that have ended and aren't decided, as far as known here. */
  public long undecidedCount() {
    if (!held || !ledger.isRead() || ledger.isEmpty()) {
      return 0;
    }
    return Math.max(0, policy.windowAt(fleetClock.nowMillis()) - 1 - ledger.decidedThrough());
  }

  /** Returns the last decided window; 0 if this process doesn't know it. */
  public long decidedThrough() {
    return held && ledger.isRead() && !ledger.isEmpty() ? ledger.decidedThrough() : 0;
  }

  /** Returns the state of the calls to the platform. */
  public DutyState callState() {
    return caller.state();
  }

  private final class ReportDuty implements DutyPort {

    @Override
    public Optional<DutyCall> nextCall() {
      return ledger.firstUnreported().map(e -> new DutyCall(e.getKey(), e.getValue()));
    }

    @Override
    public void send(long number, long sentTerm, DutyCall call) {
      port.send(number, sentTerm, call.body());
    }

    @Override
    public void onAccepted(DutyCall call, int attempts) {
      ledger.onReported(call.subject());
      boolean isLate =
          fleetClock.nowMillis() > policy.endOf(call.subject()) + policy.reportDue().toMillis();
      reported++;
      late += isLate ? 1 : 0;
      repeated += attempts > 1 ? 1 : 0;
      port.onReported(call.subject(), attempts, isLate);
    }

    @Override
    public void onUnanswered(DutyCall call, int attempts) {
      port.onReportUnanswered(call.subject(), attempts);
    }

    @Override
    public void onFenced(long fencedTerm) {
      port.onFenced(fencedTerm);
    }
  }
}
