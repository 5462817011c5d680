package org.carobhoist.core.usage;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import org.carobhoist.core.account.AccountName;

/**
 * Sends the counts of this gateway to the coordinator: only if something is new or an answer is
 * missing, and at once to a new coordinator. A report contains all undecided counts, so that a
 * repeated one does no harm.
 */
public final class UsageReporter {

  private final UsageCounter counter;
  private final FleetClock fleetClock;
  private final UsagePolicy policy;
  private Optional<Link> coordinator = Optional.empty();
  private long term = -1;
  private boolean awaitsAnswer;
  private Duration lastSentAt = Duration.ZERO;

  /** Sends a report to the coordinator. */
  @FunctionalInterface
  public interface Link {

    /**
     * Sends a report.
     *
     * @param wallMillis time of day at this gateway
     * @param windows undecided counts
     */
    void send(long term, long wallMillis, Map<Long, Map<AccountName, Long>> windows);
  }

  private UsageReporter(UsageCounter counter, FleetClock fleetClock, UsagePolicy policy) {
    this.counter = counter;
    this.fleetClock = fleetClock;
    this.policy = policy;
  }

  /** Returns a reporter that knows no coordinator. */
  public static UsageReporter create(
      UsageCounter counter, FleetClock fleetClock, UsagePolicy policy) {
    return new UsageReporter(counter, fleetClock, policy);
  }

  /** Called when a coordinator has connected; one with a lower term is ignored. */
  public void onCoordinator(long newTerm, Link link) {
    if (newTerm < term) {
      return;
    }
    term = newTerm;
    coordinator = Optional.of(link);
    fleetClock.forgetReports();
    send();
  }

  /** Called with the coordinator's answer; one of another term is ignored. */
  public void onAck(long ackTerm, long offsetMillis, long decidedThrough) {
    if (ackTerm != term) {
      return;
    }
    awaitsAnswer = false;
    fleetClock.onOffset(offsetMillis);
    counter.onDecided(decidedThrough);
  }

  /** Sends a report if that is due; called periodically. */
  public void tick() {
    Duration sinceLast = fleetClock.monotonic().elapsed().minus(lastSentAt);
    if ((counter.isChanged() || awaitsAnswer)
        && sinceLast.compareTo(policy.reportInterval()) >= 0) {
      send();
    }
  }

  private void send() {
    if (coordinator.isPresent()) {
      lastSentAt = fleetClock.monotonic().elapsed();
      awaitsAnswer = true;
      coordinator.get().send(term, fleetClock.wallMillisForReport(), counter.takeCounts());
    }
  }
}
