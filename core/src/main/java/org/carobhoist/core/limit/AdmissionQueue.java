package org.carobhoist.core.limit;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.EnumMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.Map;
import java.util.Set;
import org.carobhoist.core.common.Clock;
import org.carobhoist.core.common.Priority;
import org.carobhoist.core.common.Refusal;
import org.carobhoist.core.common.RefusalReason;

/**
 * Admission to one endpoint. At most {@code limit} requests run; others wait in one queue per
 * priority class, the most urgent class first. A request is refused at once when the queue is full,
 * and as soon as its deadline passes while it waits. Nothing refused here has run.
 */
public final class AdmissionQueue {

  private final LimitPolicy policy;
  private final Clock clock;
  private final Map<Priority, Deque<Waiting>> queues = new EnumMap<>(Priority.class);
  private final Set<Long> running = new HashSet<>();
  private int limit;
  private boolean draining;

  private record Waiting(AdmissionTicket ticket, Duration expiry) {}

  private AdmissionQueue(LimitPolicy policy, Clock clock) {
    this.policy = policy;
    this.clock = clock;
    this.limit = policy.initial();
    for (Priority p : Priority.values()) {
      queues.put(p, new ArrayDeque<>());
    }
  }

  /** Returns an empty queue. */
  public static AdmissionQueue create(LimitPolicy policy, Clock clock) {
    return new AdmissionQueue(policy, clock);
  }

  /** Admits, queues or refuses a request. */
  public void offer(AdmissionTicket ticket) {
    if (draining) {
      ticket.onRefuse().accept(refusal(RefusalReason.DRAINING, "the endpoint is leaving"));
      return;
    }
    if (running.size() < limit && queued() == 0) {
      admit(ticket);
      return;
    }
    if (queued() >= policy.queueLength()) {
      ticket.onRefuse().accept(refusal(RefusalReason.OVERLOADED, "the queue is full"));
      return;
    }
    Duration latest = clock.elapsed().plus(policy.queueTime());
    Duration expiry = ticket.deadline().filter(d -> d.compareTo(latest) < 0).orElse(latest);
    queues.get(ticket.priority()).add(new Waiting(ticket, expiry));
  }

  /** Notes that a running request has ended, however it ended, and admits waiting ones. */
  public void complete(long id) {
    if (running.remove(id)) {
      admitWaiting();
    }
  }

  /** Takes a waiting request out of the queue; returns whether it was waiting. */
  public boolean withdraw(long id) {
    return queues.values().stream().anyMatch(q -> q.removeIf(w -> w.ticket().id() == id));
  }

  /** Refuses waiting requests whose time is up; to be called a few times a second. */
  public void expire() {
    Duration now = clock.elapsed();
    for (Deque<Waiting> queue : queues.values()) {
      for (Iterator<Waiting> it = queue.iterator(); it.hasNext(); ) {
        Waiting w = it.next();
        if (w.expiry().compareTo(now) <= 0) {
          it.remove();
          w.ticket().onRefuse().accept(refusal(RefusalReason.OVERLOADED, "waited too long"));
        }
      }
    }
  }

  /** Refuses every new request from now on; waiting and running ones go on. */
  public void drain() {
    draining = true;
  }

  /** Returns whether nothing runs and nothing waits. */
  public boolean isIdle() {
    return running.isEmpty() && queued() == 0;
  }

  /** Returns the number of running requests. */
  public int running() {
    return running.size();
  }

  /** Returns the number of waiting requests. */
  public int queued() {
    return queues.values().stream().mapToInt(Deque::size).sum();
  }

  /** Returns the present concurrency limit. */
  public int limit() {
    return limit;
  }

  private void admitWaiting() {
    expire();
    for (Deque<Waiting> queue : queues.values()) {
      while (running.size() < limit && !queue.isEmpty()) {
        admit(queue.poll().ticket());
      }
    }
  }

  private void admit(AdmissionTicket ticket) {
    running.add(ticket.id());
    ticket.onAdmit().run();
  }

  private static Refusal refusal(RefusalReason reason, String detail) {
    return Refusal.notRun(reason, detail);
  }
}
