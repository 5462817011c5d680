package org.carobhoist.core.duty;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import org.carobhoist.core.testing.EventQueue;
import org.carobhoist.core.testing.FaultMatrix.Injection;
import org.carobhoist.core.testing.ManualClock;

/** One process with a duty of five calls, a lease and an API that both fail as injected. */
final class DutySimulation implements DutyPort {

  static final Duration GAP = Duration.ofSeconds(3);

  private static final int CALLS = 5;
  private static final Duration END = Duration.ofSeconds(120);
  private static final DutyPolicy POLICY = DutyPolicy.of(50, GAP);

  private final ManualClock clock = new ManualClock();
  private final EventQueue queue = new EventQueue(clock);
  private final boolean checksPermission;
  private final List<Injection<DutyState, DutyEvent>> pending;
  private final DutyCaller caller;
  private final List<Long> acceptedSubjects = new ArrayList<>();
  private boolean held;
  private boolean permitted = true;
  private long term;
  private Duration termStartedAt = Duration.ZERO;
  private long fencedTerm = -1;
  private long openAttempt;
  private DutyAnswer answer = DutyAnswer.ACCEPTED;
  private Optional<String> violation = Optional.empty();

  private DutySimulation(
      List<Injection<DutyState, DutyEvent>> injections, boolean checksPermission) {
    this.pending = new ArrayList<>(injections);
    this.checksPermission = checksPermission;
    this.caller =
        DutyCaller.create(
            this, POLICY, clock, () -> permitted || !checksPermission, new SplittableRandom(7));
  }

  /** Runs a scenario to its end; all calls must be accepted in order, without a violation. */
  static Optional<String> run(
      List<Injection<DutyState, DutyEvent>> injections, boolean checksPermission) {
    DutySimulation simulation = new DutySimulation(injections, checksPermission);
    simulation.acquire();
    simulation.queue.after(Duration.ZERO, simulation::tick);
    simulation.queue.run(END);
    if (!simulation.pending.isEmpty()) {
      return Optional.of("not injected: " + simulation.pending);
    }
    if (simulation.violation.isPresent()) {
      return simulation.violation;
    }
    return simulation.acceptedSubjects.equals(List.of(0L, 1L, 2L, 3L, 4L))
        ? Optional.empty()
        : Optional.of("accepted only " + simulation.acceptedSubjects);
  }

  private void tick() {
    caller.tick();
    if (!pending.isEmpty() && pending.get(0).step() == caller.state()) {
      inject(pending.remove(0).fault());
    } else if (!pending.isEmpty()) {
      leadTo(pending.get(0).step());
    }
    queue.after(DutyCaller.TICK, this::tick);
  }

  /** Makes the API answer so that the caller gets into the state of the next injection. */
  private void leadTo(DutyState state) {
    answer =
        switch (state) {
          case READY, IN_FLIGHT -> DutyAnswer.ACCEPTED;
          case BACKING_OFF -> DutyAnswer.NONE;
          case FENCED -> DutyAnswer.OUTDATED;
        };
  }

  private void inject(DutyEvent event) {
    answer = DutyAnswer.ACCEPTED;
    switch (event) {
      case SEND_DUE -> caller.tick();
      case ACCEPTED -> answerNow(DutyAnswer.ACCEPTED);
      case UNANSWERED -> answerNow(DutyAnswer.NONE);
      case OUTDATED -> answerNow(DutyAnswer.OUTDATED);
      case TIMER -> queue.after(Duration.ofSeconds(3), caller::tick);
      case LEASE_LOST -> {
        held = false;
        permitted = false;
        caller.onLost();
        queue.after(Duration.ofSeconds(5), this::acquire);
      }
      case NEW_TERM -> acquire();
    }
    if (caller.state() == DutyState.FENCED) {
      queue.after(Duration.ofSeconds(9), this::acquire);
    }
  }

  private void acquire() {
    held = true;
    term += 10;
    termStartedAt = clock.elapsed();
    // The permission of a lease ends for a while in each term, as it does when a renewal is late.
    permitted = true;
    queue.after(Duration.ofMillis(3_050), () -> permitted = false);
    queue.after(Duration.ofMillis(6_000), () -> permitted = held);
    caller.onAcquired(term);
  }

  private void answerNow(DutyAnswer value) {
    end(openAttempt, value);
  }

  @Override
  public Optional<DutyCall> nextCall() {
    long next = acceptedSubjects.size();
    return next < CALLS ? Optional.of(new DutyCall(next, new byte[] {(byte) next})) : none();
  }

  private static Optional<DutyCall> none() {
    return Optional.empty();
  }

  @Override
  public void send(long number, long sentTerm, DutyCall call) {
    check(held && permitted, "sent without permission");
    check(sentTerm == term, "sent with a former term");
    check(sentTerm > fencedTerm, "sent in a term that was fenced");
    check(clock.elapsed().minus(termStartedAt).compareTo(GAP) >= 0, "sent too early in the term");
    check(call.body()[0] == call.subject(), "sent other bytes");
    check(openAttempt == 0, "two calls are in flight");
    openAttempt = number;
    queue.after(Duration.ofMillis(250), () -> end(number, answer));
  }

  private void end(long number, DutyAnswer value) {
    openAttempt = openAttempt == number ? 0 : openAttempt;
    caller.onAnswer(number, value);
  }

  @Override
  public void onAccepted(DutyCall call, int attempts) {
    check(call.subject() == acceptedSubjects.size(), "accepted out of order");
    acceptedSubjects.add(call.subject());
  }

  @Override
  public void onUnanswered(DutyCall call, int attempts) {
    check(call.subject() == acceptedSubjects.size(), "repeated out of order");
  }

  @Override
  public void onFenced(long outdated) {
    fencedTerm = outdated;
    queue.after(Duration.ofSeconds(9), this::acquire);
  }

  private void check(boolean holds, String what) {
    if (!holds && violation.isEmpty()) {
      violation = Optional.of(what + " at " + clock.elapsed());
    }
  }
}
