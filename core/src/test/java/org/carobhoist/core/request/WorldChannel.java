package org.carobhoist.core.request;

import java.time.Duration;
import java.util.function.LongPredicate;
import org.carobhoist.core.idempotency.HomeMember;

/** A simulated link between one incarnation of an entry and one of a sidecar. */
final class WorldChannel {

  static final Duration LATENCY = Duration.ofMillis(5);
  private static final Duration OVERTAKEN = Duration.ofSeconds(3);
  private static final Duration ECHO = Duration.ofSeconds(1);
  private static final Duration NOTICE = Duration.ofMillis(1);

  final WorldEntry entry;
  final WorldSidecar sidecar;
  final HomeMember peerRun;
  final LongPredicate starts;
  boolean broken;
  boolean deaf;
  boolean answersLost;
  boolean truncating;
  WorldFault armed;

  WorldChannel(WorldEntry entry, WorldSidecar sidecar, LongPredicate starts) {
    this.starts = starts;
    this.entry = entry;
    this.sidecar = sidecar;
    this.peerRun = sidecar.self;
  }

  void up(Runnable atSidecar) {
    transmit(sidecar, atSidecar);
  }

  void down(Runnable atEntry) {
    if (!answersLost) {
      transmit(entry, atEntry);
    }
  }

  void breakOff() {
    if (broken) {
      return;
    }
    broken = true;
    entry.post(NOTICE, () -> entry.onLinkLost(this));
    sidecar.post(NOTICE, () -> sidecar.onLinkDown(this));
  }

  private void transmit(WorldNode to, Runnable task) {
    if (broken || deaf) {
      return;
    }
    WorldFault fault = armed;
    armed = null;
    if (fault == WorldFault.DROP) {
      return;
    }
    arrive(to, fault == WorldFault.DELAY ? OVERTAKEN : LATENCY, task);
    if (fault == WorldFault.DUPLICATE) {
      arrive(to, ECHO, task);
    }
  }

  /**
   * Delivers a frame unless the link is broken by then. A frame that arrives before the link breaks
   * is still read, even if the process is paused until later.
   */
  private void arrive(WorldNode to, Duration delay, Runnable task) {
    int run = to.epoch;
    to.events.after(
        delay,
        () -> {
          if (!broken) {
            to.deliver(run, task);
          }
        });
  }
}
