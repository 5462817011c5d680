package org.carobhoist.core.limit;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.function.Predicate;

/**
 * Queue of the waiting requests of one priority class, which schedules tenants by start-time fair
 * queueing. Each tenant has a virtual time that advances by the cost of its dequeued requests,
 * divided by its weight, and the tenant with the lowest virtual time is served next. A tenant that
 * was idle starts at the virtual time of the queue, so that it can't accumulate credit.
 */
final class FairQueue {

  private final Function<String, TenantPolicy> policies;
  private final Map<String, Tenant> tenants = new LinkedHashMap<>();
  private double queueVirtualTime;
  private int size;

  /**
   * A waiting request.
   *
   * @param ticket request
   * @param expiry time at which its wait expires, as elapsed time of the clock
   */
  record QueuedRequest(AdmissionTicket ticket, Duration expiry) {}

  private static final class Tenant {
    private final Deque<QueuedRequest> queue = new ArrayDeque<>();
    private double virtualTime;
  }

  FairQueue(Function<String, TenantPolicy> policies) {
    this.policies = policies;
  }

  void add(QueuedRequest w) {
    Tenant t = tenants.computeIfAbsent(w.ticket().tenant(), key -> new Tenant());
    if (t.queue.isEmpty()) {
      t.virtualTime = Math.max(t.virtualTime, queueVirtualTime);
    }
    t.queue.add(w);
    size++;
  }

  int size() {
    return size;
  }

  /** Returns the number of waiting requests of a tenant. */
  int size(String tenant) {
    Tenant t = tenants.get(tenant);
    return t == null ? 0 : t.queue.size();
  }

  /** Estimates how many waiting requests are served before a new one of the tenant. */
  int requestsAhead(String tenant) {
    double weight = policies.apply(tenant).weight();
    double others =
        tenants.entrySet().stream()
            .filter(e -> !e.getValue().queue.isEmpty() && !e.getKey().equals(tenant))
            .mapToDouble(e -> policies.apply(e.getKey()).weight())
            .sum();
    return (int) Math.min(size, size(tenant) * (weight + others) / weight);
  }

  /** Removes the next request, by fair share among tenants whose first request may run. */
  Optional<QueuedRequest> poll(Predicate<QueuedRequest> mayRun) {
    Optional<Tenant> next = Optional.empty();
    for (Tenant t : tenants.values()) {
      boolean fits = !t.queue.isEmpty() && mayRun.test(t.queue.peek());
      if (fits && next.map(n -> t.virtualTime < n.virtualTime).orElse(true)) {
        next = Optional.of(t);
      }
    }
    return next.map(this::dequeue);
  }

  /** Removes the newest request of the tenant with the most waiting requests. */
  Optional<QueuedRequest> pollNewest() {
    Optional<Tenant> longest =
        tenants.values().stream()
            .max((a, b) -> Integer.compare(a.queue.size(), b.queue.size()))
            .filter(t -> !t.queue.isEmpty());
    longest.ifPresent(t -> size--);
    return longest.map(t -> t.queue.pollLast());
  }

  /** Removes and returns all requests that match the condition. */
  List<QueuedRequest> removeIf(Predicate<QueuedRequest> condition) {
    List<QueuedRequest> out = new ArrayList<>();
    for (Tenant t : tenants.values()) {
      for (Iterator<QueuedRequest> it = t.queue.iterator(); it.hasNext(); ) {
        QueuedRequest w = it.next();
        if (condition.test(w)) {
          it.remove();
          out.add(w);
        }
      }
    }
    size -= out.size();
    tenants.values().removeIf(t -> t.queue.isEmpty() && t.virtualTime <= queueVirtualTime);
    return out;
  }

  private QueuedRequest dequeue(Tenant t) {
    QueuedRequest w = t.queue.poll();
    size--;
    queueVirtualTime = Math.max(queueVirtualTime, t.virtualTime);
    double cost = Math.max(1, w.ticket().kvTokens());
    t.virtualTime += cost / policies.apply(w.ticket().tenant()).weight();
    return w;
  }
}
