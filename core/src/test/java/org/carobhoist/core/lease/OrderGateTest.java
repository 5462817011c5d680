package org.carobhoist.core.lease;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.Optional;
import org.carobhoist.core.common.Incarnation;
import org.carobhoist.core.common.InstanceId;
import org.carobhoist.core.testing.ManualClock;
import org.junit.jupiter.api.Test;

final class OrderGateTest {

  private static final Duration GAP = Duration.ofSeconds(3);
  private static final Duration LONG = Duration.ofMinutes(1);
  private static final Duration SHORT_TERM = GAP.minusMillis(1);

  private final ManualClock clock = new ManualClock();

  private static Optional<LeaseEntry> record(boolean released, boolean settled) {
    return Optional.of(
        new LeaseEntry(
            new InstanceId("b"),
            new Incarnation("b-1"),
            4,
            released,
            Optional.empty(),
            settled,
            LONG));
  }

  private OrderGate gateOfRunThatStarted(Duration ago) {
    OrderGate gate = OrderGate.create(GAP, clock);
    clock.advance(ago);
    return gate;
  }

  private void assertOpensAfter(OrderGate gate, Duration wait) {
    clock.advance(wait.minusMillis(1));
    assertThat(gate.isOpen()).isFalse();
    clock.advance(Duration.ofMillis(1));
    assertThat(gate.isOpen()).isTrue();
  }

  @Test
  void firstHolderAndHeirOfSettledReleaseNeedNotWait() {
    OrderGate first = gateOfRunThatStarted(Duration.ZERO);
    first.onAcquired(Optional.empty(), false, SHORT_TERM);
    assertThat(first.isOpen()).isTrue();
    OrderGate heir = gateOfRunThatStarted(LONG);
    heir.onAcquired(record(true, true), false, SHORT_TERM);
    assertThat(heir.isOpen()).isTrue();
  }

  @Test
  void successorWaitsIfOrdersOfFormerHolderMayBeOnTheirWay() {
    OrderGate afterKill = gateOfRunThatStarted(LONG);
    afterKill.onAcquired(record(false, false), false, SHORT_TERM);
    assertOpensAfter(afterKill, GAP);
    OrderGate afterRelease = gateOfRunThatStarted(LONG);
    afterRelease.onAcquired(record(true, false), false, SHORT_TERM);
    assertOpensAfter(afterRelease, GAP);
  }

  @Test
  void successorWaitsForOrdersOnTheirWayOnceItsPredecessorIsKnownToHaveEnded() {
    OrderGate afterLongTerm = gateOfRunThatStarted(LONG);
    afterLongTerm.onAcquired(record(false, false), false, GAP);
    clock.advance(Duration.ofMillis(500));
    afterLongTerm.onPredecessorEnded();
    assertOpensAfter(afterLongTerm, OrderGate.MAX_TRANSIT);
    OrderGate afterShortTerm = gateOfRunThatStarted(LONG);
    afterShortTerm.onAcquired(record(false, false), false, SHORT_TERM);
    afterShortTerm.onPredecessorEnded();
    assertOpensAfter(afterShortTerm, GAP);
  }

  /** Guards against a needless wait of all processes after all of them have ended. */
  @Test
  void restartedProcessNeedNotWaitForOwnOrdersThatPrecedeLongTermOfItsPredecessor() {
    OrderGate gate = gateOfRunThatStarted(Duration.ofSeconds(1));
    gate.onAcquired(record(false, false), false, GAP.multipliedBy(2));
    gate.onPredecessorEnded();
    assertOpensAfter(gate, OrderGate.MAX_TRANSIT);
  }

  /** Guards against orders of A, B and A: the predecessor has stopped, but this run was before. */
  @Test
  void holderThatIssuedOrdersBeforeItsPredecessorWaitsAfterItsLastOne() {
    OrderGate gate = gateOfRunThatStarted(LONG);
    gate.onAcquired(record(true, true), false, SHORT_TERM);
    gate.onOrderSent();
    gate.onOrderEnded(false);
    clock.advance(Duration.ofSeconds(1));
    gate.onAcquired(record(true, true), false, SHORT_TERM);
    assertOpensAfter(gate, Duration.ofSeconds(2));
  }

  /** Guards against orders of A, B and A of which the first was sent before A's process ended. */
  @Test
  void restartedHolderWaitsSinceItsFormerRunMayHaveIssuedOrders() {
    OrderGate gate = gateOfRunThatStarted(Duration.ofSeconds(1));
    gate.onAcquired(record(true, true), false, SHORT_TERM);
    assertOpensAfter(gate, OrderGate.MAX_TRANSIT.plus(GAP).minusSeconds(1));
  }

  @Test
  void releaseIsNotSettledWhileAnOrderMayArrive() {
    OrderGate gate = gateOfRunThatStarted(LONG);
    gate.onAcquired(record(true, true), false, SHORT_TERM);
    assertThat(gate.isSettled()).isTrue();
    gate.onOrderSent();
    assertThat(gate.isQuiet()).isFalse();
    assertThat(gate.isSettled()).isFalse();
    gate.onOrderEnded(true);
    assertThat(gate.isQuiet()).isTrue();
    assertThat(gate.isSettled()).isFalse();
    clock.advance(OrderGate.MAX_TRANSIT);
    assertThat(gate.isSettled()).isTrue();
  }

  @Test
  void releaseIsNotSettledWhileOrdersOfFormerHolderMayArrive() {
    OrderGate gate = gateOfRunThatStarted(LONG);
    gate.onAcquired(record(false, false), false, SHORT_TERM);
    assertThat(gate.isSettled()).isFalse();
    clock.advance(GAP);
    assertThat(gate.isSettled()).isTrue();
  }
}
