package org.carobhoist.core.limit;

import java.time.Duration;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import org.carobhoist.core.common.Clock;
import org.carobhoist.core.common.Priority;
import org.carobhoist.core.common.Refusal;
import org.carobhoist.core.common.RefusalReason;

/**
 * Admission control for one endpoint. At most {@code limit} requests run concurrently. The limit
 * adapts to the measured latency; for an engine each request also needs free KV cache.
 *
 * <p>Other requests wait in one fair queue per priority class. The most urgent class is served
 * first, but rollouts are guaranteed a small share of the slots and leave another share free.
 *
 * <p>A request is refused as soon as its deadline can't be met: on arrival, while it waits, or when
 * it is next to run. A full queue makes room for an urgent request by refusing the newest request
 * of a lower class. No refused request has run.
 */
public final class AdmissionQueue {

  private static final Duration MIN_RETRY_AFTER = Duration.ofMillis(100);

  private final LimitPolicy policy;
  private final Clock clock;
  private final AdaptiveLimit limit;
  private final KvCacheBudget kvCache;
  private final Map<Priority, FairQueue> queues = new EnumMap<>(Priority.class);
  private final Map<Priority, ServiceTimeEstimator> serviceTimes = new EnumMap<>(Priority.class);
  private final Map<Priority, Integer> runningByPriority = new EnumMap<>(Priority.class);
  private final Map<String, Integer> runningByTenant = new HashMap<>();
  private final Map<Long, Running> running = new HashMap<>();
  private Function<String, TenantPolicy> tenantPolicies = tenant -> TenantPolicy.DEFAULT;
  private double rolloutCredit;
  private boolean draining;
  private long refused;

  private record Running(AdmissionTicket ticket, Duration startedAt) {}

  private AdmissionQueue(LimitPolicy policy, Clock clock) {
    this.policy = policy;
    this.clock = clock;
    this.limit = new AdaptiveLimit(policy, clock);
    this.kvCache = new KvCacheBudget(clock);
    for (Priority p : Priority.values()) {
      queues.put(p, new FairQueue(tenant -> tenantPolicies.apply(tenant)));
      serviceTimes.put(p, new ServiceTimeEstimator());
      runningByPriority.put(p, 0);
    }
  }

  /** Returns an empty queue. */
  public static AdmissionQueue create(LimitPolicy policy, Clock clock) {
    return new AdmissionQueue(policy, clock);
  }

  /** Sets the source of the tenants' policies, which is queried at each decision. */
  public void setTenantPolicies(Function<String, TenantPolicy> source) {
    tenantPolicies = source;
  }

  /** Called when the engine reports how many KV cache tokens are free. */
  public void onFreeKvTokens(long tokens) {
    kvCache.onReport(tokens);
    admitWaiting();
  }

  /** Admits, queues or refuses a request. */
  public void offer(AdmissionTicket ticket) {
    if (draining) {
      refuse(ticket, RefusalReason.DRAINING, "the endpoint is leaving", Duration.ZERO);
      return;
    }
    Duration wait = expectedWait(ticket);
    if (missesDeadline(ticket, wait)) {
      refuse(ticket, RefusalReason.OVERLOADED, "the wait is longer than the deadline", wait);
      return;
    }
    boolean tenantQueueFull =
        queues.get(ticket.priority()).size(ticket.tenant()) >= maxQueued(ticket);
    FairQueue.QueuedRequest queuedRequest = new FairQueue.QueuedRequest(ticket, expiry(ticket));
    if (queued() == 0 && mayRun(queuedRequest) && hasFreeSlot(ticket.priority())) {
      admit(ticket);
      return;
    }
    if (tenantQueueFull
        || (queued() >= policy.queueLength() && !evictLowerPriority(ticket.priority()))) {
      refuse(ticket, RefusalReason.OVERLOADED, "the queue is full", wait);
      return;
    }
    queues.get(ticket.priority()).add(queuedRequest);
    admitWaiting();
  }

  /** Records that the endpoint has answered a running request, and admits waiting ones. */
  public void complete(long id) {
    Running r = release(id);
    if (r == null) {
      return;
    }
    Duration duration = clock.elapsed().minus(r.startedAt());
    limit.onSample(r.ticket().priority(), duration);
    serviceTimes.get(r.ticket().priority()).onSample(duration);
    admitWaiting();
  }

  /**
   * Records that a running request ended without a response, and admits waiting ones. Its duration
   * counts as a latency sample only if it ran beyond its deadline: a fast error says nothing about
   * the endpoint's capacity.
   */
  public void fail(long id) {
    Running r = release(id);
    if (r == null) {
      return;
    }
    if (r.ticket().deadline().filter(d -> d.compareTo(clock.elapsed()) <= 0).isPresent()) {
      limit.onSample(r.ticket().priority(), clock.elapsed().minus(r.startedAt()));
    }
    admitWaiting();
  }

  /** Removes a waiting request from the queue; returns whether it was waiting. */
  public boolean withdraw(long id) {
    return queues.values().stream()
        .anyMatch(q -> !q.removeIf(w -> w.ticket().id() == id).isEmpty());
  }

  /** Refuses waiting requests whose wait has expired; must be called a few times a second. */
  public void expire() {
    for (FairQueue queue : queues.values()) {
      queue
          .removeIf(this::isExpired)
          .forEach(
              w -> refuse(w.ticket(), RefusalReason.OVERLOADED, "waited too long", Duration.ZERO));
    }
  }

  /** Refuses every new request from now on; waiting and running requests are unaffected. */
  public void drain() {
    draining = true;
  }

  /** Accepts new requests again after a drain was cancelled. */
  public void resume() {
    draining = false;
  }

  /** Returns whether no request is running or waiting. */
  public boolean isIdle() {
    return running.isEmpty() && queued() == 0;
  }

  /** Returns the number of running requests. */
  public int running() {
    return running.size();
  }

  /** Returns the number of waiting requests. */
  public int queued() {
    return queues.values().stream().mapToInt(FairQueue::size).sum();
  }

  /** Returns the current concurrency limit. */
  public int limit() {
    return limit.value();
  }

  /** Returns how many requests have been refused since the start. */
  public long refused() {
    return refused;
  }

  private void admitWaiting() {
    expire();
    for (Optional<FairQueue.QueuedRequest> w = pollNext(); w.isPresent(); w = pollNext()) {
      AdmissionTicket ticket = w.get().ticket();
      if (missesDeadline(ticket, Duration.ZERO)) {
        refuse(ticket, RefusalReason.OVERLOADED, "too late to meet the deadline", Duration.ZERO);
      } else {
        admit(ticket);
      }
    }
  }

  /** Removes the next request that may run now, by priority class and then by fair share. */
  private Optional<FairQueue.QueuedRequest> pollNext() {
    if (queued() == 0 || running.size() >= limit.value()) {
      return Optional.empty();
    }
    if (isRolloutDue()) {
      Optional<FairQueue.QueuedRequest> w = queues.get(Priority.ROLLOUT).poll(this::mayRun);
      if (w.isPresent()) {
        rolloutCredit = 0;
        return w;
      }
    }
    for (Priority p : Priority.values()) {
      Optional<FairQueue.QueuedRequest> w =
          hasFreeSlot(p) ? queues.get(p).poll(this::mayRun) : Optional.empty();
      if (w.isPresent()) {
        rolloutCredit += p == Priority.ROLLOUT ? 0 : policy.rolloutShare();
        return w;
      }
    }
    return Optional.empty();
  }

  /**
   * Returns whether a rollout is admitted before more urgent requests, so that rollouts never
   * starve. With a single slot, rollouts get their share of the admissions instead of the slots.
   */
  private boolean isRolloutDue() {
    if (queues.get(Priority.ROLLOUT).size() == 0 || policy.rolloutShare() == 0) {
      return false;
    }
    if (limit.value() == 1) {
      return rolloutCredit >= 1;
    }
    int guaranteed = Math.max(1, (int) (limit.value() * policy.rolloutShare()));
    return runningByPriority.get(Priority.ROLLOUT) < guaranteed;
  }

  private boolean hasFreeSlot(Priority p) {
    int n = limit.value();
    if (running.size() >= n) {
      return false;
    }
    int reserved = n == 1 ? 0 : (int) Math.ceil(n * policy.reservedShare());
    return p != Priority.ROLLOUT || runningByPriority.get(Priority.ROLLOUT) < n - reserved;
  }

  private boolean mayRun(FairQueue.QueuedRequest w) {
    AdmissionTicket t = w.ticket();
    boolean fits = running.isEmpty() || kvCache.fits(t.kvTokens());
    return fits
        && runningByTenant.getOrDefault(t.tenant(), 0)
            < tenantPolicies.apply(t.tenant()).concurrency();
  }

  private void admit(AdmissionTicket ticket) {
    running.put(ticket.id(), new Running(ticket, clock.elapsed()));
    runningByPriority.merge(ticket.priority(), 1, Integer::sum);
    runningByTenant.merge(ticket.tenant(), 1, Integer::sum);
    kvCache.onAdmit(ticket.kvTokens());
    if (running.size() >= limit.value()) {
      limit.onSaturated();
    }
    ticket.onAdmit().run();
  }

  private Running release(long id) {
    Running r = running.remove(id);
    if (r != null) {
      runningByPriority.merge(r.ticket().priority(), -1, Integer::sum);
      runningByTenant.computeIfPresent(r.ticket().tenant(), (key, n) -> n == 1 ? null : n - 1);
    }
    return r;
  }

  /** Estimates the wait of a new request from the requests ahead of it and the service time. */
  private Duration expectedWait(AdmissionTicket ticket) {
    int free = limit.value() - running.size();
    double requestsAhead = queues.get(ticket.priority()).requestsAhead(ticket.tenant()) + 1 - free;
    for (Priority p : Priority.values()) {
      requestsAhead += p.compareTo(ticket.priority()) < 0 ? queues.get(p).size() : 0;
    }
    if (requestsAhead <= 0) {
      return Duration.ZERO;
    }
    double mean = serviceTimes.get(ticket.priority()).mean().toNanos();
    return Duration.ofNanos((long) (requestsAhead * mean / limit.value()));
  }

  /**
   * Returns whether the response would come too late. For an idle endpoint the service time is
   * ignored, since only responses can correct an estimate that has become too high.
   */
  private boolean missesDeadline(AdmissionTicket ticket, Duration wait) {
    Duration serviceTime =
        running.isEmpty() ? Duration.ZERO : serviceTimes.get(ticket.priority()).upperBound();
    Duration expectedEnd = clock.elapsed().plus(wait).plus(serviceTime);
    return ticket.deadline().filter(d -> d.compareTo(expectedEnd) <= 0).isPresent();
  }

  private boolean isExpired(FairQueue.QueuedRequest w) {
    return w.expiry().compareTo(clock.elapsed()) <= 0;
  }

  private Duration expiry(AdmissionTicket ticket) {
    Duration latest = clock.elapsed().plus(policy.maxWait());
    return ticket.deadline().filter(d -> d.compareTo(latest) < 0).orElse(latest);
  }

  private int maxQueued(AdmissionTicket ticket) {
    return tenantPolicies.apply(ticket.tenant()).queueLength();
  }

  private boolean evictLowerPriority(Priority priority) {
    Priority[] all = Priority.values();
    for (int i = all.length - 1; i > priority.ordinal(); i--) {
      Optional<FairQueue.QueuedRequest> w = queues.get(all[i]).pollNewest();
      if (w.isPresent()) {
        refuse(
            w.get().ticket(), RefusalReason.OVERLOADED, "an urgent request came", policy.maxWait());
        return true;
      }
    }
    return false;
  }

  private void refuse(
      AdmissionTicket ticket, RefusalReason reason, String detail, Duration retryAfter) {
    refused++;
    boolean overloaded = reason == RefusalReason.OVERLOADED;
    boolean tooShort = retryAfter.compareTo(MIN_RETRY_AFTER) < 0;
    Duration after = overloaded && tooShort ? MIN_RETRY_AFTER : retryAfter;
    ticket.onRefuse().accept(Refusal.notRun(reason, detail).withRetryAfter(after));
  }
}
