package org.carobhoist.core.lease;

import java.time.Duration;
import java.util.Optional;
import org.carobhoist.core.common.Clock;

/**
 * Decides from when the holder of the lease may issue orders. A server must not receive an order of
 * a former holder after one of its successor, nor orders of two holders by turns within the order
 * gap. Therefore a new holder waits
 *
 * <ul>
 *   <li>for the order gap after it has acquired the lease, unless its predecessor has released it
 *       when no order of the predecessor or of a holder before it was on its way any more. The wait
 *       ends earlier if the predecessor's process is known to have ended;
 *   <li>for the order gap after the last order that this instance issued in an earlier term. An
 *       order of a former run of this instance was issued before this run started, and before the
 *       predecessor's term.
 * </ul>
 *
 * <p>An instance that has not held the lease lately issues orders right after such a release, so a
 * planned stop of the holder costs no wait.
 */
final class OrderGate {

  /**
   * Time in which an order without an answer arrives at its server or is lost. TCP repeats a lost
   * segment after 0.2 and 0.6 s; three losses in a row are not provided for.
   */
  static final Duration MAX_TRANSIT = Duration.ofSeconds(1);

  private final Duration orderGap;
  private final Clock clock;
  private Duration ownOrdersUntil;
  private Duration formerOrdersUntil = Duration.ZERO;
  private Duration ownGapEnd = Duration.ZERO;
  private boolean onlyPredecessorIsOutstanding;
  private int awaitingAnswer;

  private OrderGate(Duration orderGap, Clock clock) {
    this.orderGap = orderGap;
    this.clock = clock;
    this.ownOrdersUntil = clock.elapsed().plus(MAX_TRANSIT);
  }

  /** Returns the gate of a run that starts now and doesn't hold the lease. */
  static OrderGate create(Duration orderGap, Clock clock) {
    return new OrderGate(orderGap, clock);
  }

  /**
   * Called when this run has acquired the lease.
   *
   * @param preceding the record right before the acquisition; empty if the lease was never held
   * @param isOfFormerRun whether a former run of this instance wrote that record
   * @param termAge minimum time since the predecessor acquired the lease
   */
  void onAcquired(Optional<LeaseEntry> preceding, boolean isOfFormerRun, Duration termAge) {
    Duration now = clock.elapsed();
    formerOrdersUntil = now;
    ownGapEnd = now;
    if (preceding.isEmpty()) {
      return;
    }
    // A holder relies on its lease for 1.2 s, and an order is on its way for 1.4 s at most with the
    // time for its connection. So orders of earlier terms arrive within the order gap after the
    // beginning of the predecessor's term.
    onlyPredecessorIsOutstanding = termAge.compareTo(orderGap) >= 0;
    if (termAge.compareTo(orderGap.multipliedBy(2)) < 0) {
      ownGapEnd = ownOrdersUntil.plus(orderGap);
    }
    if (!preceding.get().ordersSettled()) {
      formerOrdersUntil = now.plus(orderGap);
      if (isOfFormerRun && onlyPredecessorIsOutstanding) {
        formerOrdersUntil = ownOrdersUntil;
      }
    }
  }

  /** Called when the predecessor's process is known to have ended. */
  void onPredecessorEnded() {
    if (onlyPredecessorIsOutstanding) {
      Duration lastArrival = clock.elapsed().plus(MAX_TRANSIT);
      formerOrdersUntil = earliest(formerOrdersUntil, lastArrival);
    }
  }

  /** Returns whether the holder may issue orders now. */
  boolean isOpen() {
    Duration now = clock.elapsed();
    return now.compareTo(formerOrdersUntil) >= 0 && now.compareTo(ownGapEnd) >= 0;
  }

  /** Called right before an order is sent. */
  void onOrderSent() {
    awaitingAnswer++;
  }

  /**
   * Called when an order has been answered, or its answer is no longer awaited.
   *
   * @param mayArriveLater whether the order may still arrive at its server
   */
  void onOrderEnded(boolean mayArriveLater) {
    awaitingAnswer--;
    Duration transit = mayArriveLater ? MAX_TRANSIT : Duration.ZERO;
    ownOrdersUntil = latest(ownOrdersUntil, clock.elapsed().plus(transit));
  }

  /** Returns whether no answer to an order is awaited. */
  boolean isQuiet() {
    return awaitingAnswer == 0;
  }

  /** Returns whether no order of this instance or of a former holder is on its way any more. */
  boolean isSettled() {
    Duration now = clock.elapsed();
    return isQuiet() && now.compareTo(ownOrdersUntil) >= 0 && now.compareTo(formerOrdersUntil) >= 0;
  }

  private static Duration earliest(Duration a, Duration b) {
    return a.compareTo(b) < 0 ? a : b;
  }

  private static Duration latest(Duration a, Duration b) {
    return a.compareTo(b) > 0 ? a : b;
  }
}
