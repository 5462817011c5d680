package org.carobhoist.core.request;

import java.time.Duration;
import java.util.function.LongPredicate;
import org.carobhoist.core.idempotency.HomeMember;

/** A simulated link between one incarnation of an entry and one of a sidecar. */
final class SimulatedLink {

  static final Duration LATENCY = Duration.ofMillis(5);
  private static final Duration DELAYED_LATENCY = Duration.ofSeconds(3);
  private static final Duration DUPLICATE_LATENCY = Duration.ofSeconds(1);
  private static final Duration LOSS_NOTICE_DELAY = Duration.ofMillis(1);

  final SimulatedEntryInstance entry;
  final SimulatedSidecar sidecar;
  final HomeMember peer;
  final LongPredicate startFilter;
  boolean broken;
  boolean losesAllFrames;
  boolean losesResponses;
  boolean truncatesResponses;
  InjectedFault nextFrameFault;

  SimulatedLink(SimulatedEntryInstance entry, SimulatedSidecar sidecar, LongPredicate startFilter) {
    this.startFilter = startFilter;
    this.entry = entry;
    this.sidecar = sidecar;
    this.peer = sidecar.self;
  }

  void sendToSidecar(Runnable atSidecar) {
    transmit(sidecar, atSidecar);
  }

  void sendToEntry(Runnable atEntry) {
    if (!losesResponses) {
      transmit(entry, atEntry);
    }
  }

  void breakLink() {
    if (broken) {
      return;
    }
    broken = true;
    entry.post(LOSS_NOTICE_DELAY, () -> entry.onLinkLost(this));
    sidecar.post(LOSS_NOTICE_DELAY, () -> sidecar.onLinkDown(this));
  }

  private void transmit(SimulatedProcess to, Runnable task) {
    if (broken || losesAllFrames) {
      return;
    }
    InjectedFault fault = nextFrameFault;
    nextFrameFault = null;
    if (fault == InjectedFault.DROP) {
      return;
    }
    deliverLater(to, fault == InjectedFault.DELAY ? DELAYED_LATENCY : LATENCY, task);
    if (fault == InjectedFault.DUPLICATE) {
      deliverLater(to, DUPLICATE_LATENCY, task);
    }
  }

  /**
   * Delivers a frame unless the link is broken by then. A frame that arrives before the link breaks
   * is still read, even if the process is paused until later.
   */
  private void deliverLater(SimulatedProcess to, Duration delay, Runnable task) {
    int epoch = to.epoch;
    to.events.after(
        delay,
        () -> {
          if (!broken) {
            to.deliver(epoch, task);
          }
        });
  }
}
