package org.carobhoist.core.duty;

import java.time.Duration;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.function.BooleanSupplier;
import org.carobhoist.core.chart.ChartReader;
import org.carobhoist.core.chart.StateChart;
import org.carobhoist.core.chart.StateMachine;
import org.carobhoist.core.common.Clock;
import org.carobhoist.core.common.JitteredBackoff;

/**
 * Sends the calls of a duty, one at a time, while this process holds the lease. The term of the
 * lease is the fencing number of the calls. Right before each send it checks the permission to
 * issue orders. A call that got no usable answer is repeated with the same bytes after a backoff.
 * After the answer that a higher number was seen, no call is sent until the term rises.
 */
public final class DutyCaller {

  /** Time between two calls of {@link #tick}. */
  public static final Duration TICK = Duration.ofMillis(100);

  private static final StateChart<DutyState, DutyEvent, DutyAction> CHART =
      ChartReader.readResource("duty", DutyState.class, DutyEvent.class, DutyAction.class);

  private final DutyPort port;
  private final DutyPolicy policy;
  private final Clock clock;
  private final BooleanSupplier mayIssueOrders;
  private final JitteredBackoff backoff;
  private final StateMachine<DutyState, DutyEvent, DutyAction> stateMachine;
  private boolean held;
  private long term = -1;
  private Duration termStartedAt = Duration.ZERO;
  private Optional<Duration> lastSentAt = Optional.empty();
  private Duration backoffEndsAt = Duration.ZERO;
  private DutyCall call;
  private long number;
  private int attempts;
  private long lastSubject = Long.MIN_VALUE;

  private DutyCaller(
      DutyPort port,
      DutyPolicy policy,
      Clock clock,
      BooleanSupplier mayIssueOrders,
      SplittableRandom random) {
    this.port = port;
    this.policy = policy;
    this.clock = clock;
    this.mayIssueOrders = mayIssueOrders;
    this.backoff = JitteredBackoff.create(policy.initialBackoff(), policy.maxBackoff(), random);
    this.stateMachine = StateMachine.start(CHART, this::execute);
  }

  /**
   * Returns a caller that doesn't hold the lease.
   *
   * @param mayIssueOrders returns whether this process may issue orders in its term right now
   */
  public static DutyCaller create(
      DutyPort port,
      DutyPolicy policy,
      Clock clock,
      BooleanSupplier mayIssueOrders,
      SplittableRandom random) {
    return new DutyCaller(port, policy, clock, mayIssueOrders, random);
  }

  /** Returns the chart of a duty's calls. */
  public static StateChart<DutyState, DutyEvent, DutyAction> chart() {
    return CHART;
  }

  /** Returns the current state. */
  public DutyState state() {
    return stateMachine.state();
  }

  /** Called when this process has acquired the lease; a term that isn't higher is ignored. */
  public void onAcquired(long newTerm) {
    held = true;
    if (newTerm <= term) {
      return;
    }
    term = newTerm;
    termStartedAt = clock.elapsed();
    lastSubject = Long.MIN_VALUE;
    backoff.reset();
    stateMachine.fire(DutyEvent.NEW_TERM);
  }

  /** Called when this process no longer holds the lease. */
  public void onLost() {
    held = false;
    stateMachine.fire(DutyEvent.LEASE_LOST);
  }

  /** Called with the answer to an attempt; an answer to an abandoned attempt is ignored. */
  public void onAnswer(long attempt, DutyAnswer answer) {
    if (attempt != number || stateMachine.state() != DutyState.IN_FLIGHT) {
      return;
    }
    stateMachine.fire(
        switch (answer) {
          case ACCEPTED -> DutyEvent.ACCEPTED;
          case OUTDATED -> DutyEvent.OUTDATED;
          case NONE -> DutyEvent.UNANSWERED;
        });
  }

  /**
   * Sends the next call or handles a timeout if that is due. Must be called every {@link #TICK}.
   */
  public void tick() {
    Duration now = clock.elapsed();
    if (stateMachine.state() == DutyState.IN_FLIGHT
        && now.minus(lastSentAt.orElseThrow()).compareTo(policy.answerTimeout()) >= 0) {
      stateMachine.fire(DutyEvent.UNANSWERED);
    }
    if (stateMachine.state() == DutyState.BACKING_OFF && now.compareTo(backoffEndsAt) >= 0) {
      stateMachine.fire(DutyEvent.TIMER);
    }
    if (stateMachine.state() != DutyState.READY || !held) {
      return;
    }
    Optional<DutyCall> next = port.nextCall();
    if (next.isPresent() && maySend()) {
      call = next.get();
      stateMachine.fire(DutyEvent.SEND_DUE);
    }
  }

  private boolean maySend() {
    Duration now = clock.elapsed();
    boolean paced =
        lastSentAt.map(t -> now.minus(t).compareTo(policy.minInterval()) >= 0).orElse(true);
    return paced
        && now.minus(termStartedAt).compareTo(policy.takeoverGap()) >= 0
        && mayIssueOrders.getAsBoolean();
  }

  private void execute(DutyAction action) {
    switch (action) {
      case SEND -> send();
      case COMPLETE -> {
        backoff.reset();
        port.onAccepted(call, attempts);
      }
      case PAUSE -> {
        number++;
        backoffEndsAt = clock.elapsed().plus(backoff.nextDelay());
        port.onUnanswered(call, attempts);
      }
      case REPORT_FENCED -> port.onFenced(term);
      case ABANDON -> number++;
    }
  }

  private void send() {
    attempts = call.subject() == lastSubject ? attempts + 1 : 1;
    lastSubject = call.subject();
    lastSentAt = Optional.of(clock.elapsed());
    number++;
    port.send(number, term, call);
  }
}
