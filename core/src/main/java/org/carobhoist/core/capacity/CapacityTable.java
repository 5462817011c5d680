package org.carobhoist.core.capacity;

import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import org.carobhoist.core.common.Clock;
import org.carobhoist.core.common.InstanceId;

/**
 * What one process knows about the capacity of all endpoints: an estimate from its own samples, the
 * estimate that the coordinator sent, and the load that the endpoint itself reports.
 *
 * <p>A process sees few samples of each endpoint, so the coordinator's estimate, made from those of
 * all processes, has more weight while it is fresh. A reported load is used only while it is new,
 * and less if the latencies contradict it.
 */
public final class CapacityTable {

  /** Weight of the coordinator's estimate relative to that of this process. */
  private static final double SHARED_WEIGHT = 3;

  /** Age up to which a reported number of requests is used in full, and at which it is ignored. */
  private static final Duration LOAD_FADE_START = Duration.ofSeconds(1);

  private static final Duration LOAD_FADE_END = Duration.ofSeconds(3);

  /** The same for the reported time factor, which changes many times per second. */
  private static final Duration FACTOR_FADE_START = Duration.ofMillis(200);

  private static final Duration FACTOR_FADE_END = Duration.ofMillis(800);

  /**
   * Weight of a reported time factor in its average. What counts is the factor relative to its
   * average, since the latencies already contain the average; a constant false one has no effect.
   */
  private static final double FACTOR_WEIGHT = 0.1;

  private static final double MAX_RELATIVE_FACTOR = 4;

  /** Step by which the trust in a reported load falls with a contradicting sample. */
  private static final double TRUST_STEP = 0.3;

  /** Bound of a reported load in multiples of the slots. */
  private static final int MAX_REPORTED_SLOTS = 2;

  private final CapacityPolicy policy;
  private final Clock clock;
  private final Map<InstanceId, Entry> entries = new HashMap<>();
  private Duration sharedAt = Duration.ZERO;

  private static final class Entry {
    private final CapacityEstimator own;
    private CapacityEstimate shared;
    private LatencySums pending;
    private Duration loadAt;
    private double factor = 1;
    private double averageFactor = 1;
    private Duration factorAt;
    private double trust = 1;

    private Entry(CapacityPolicy policy) {
      this.own = new CapacityEstimator(policy);
    }
  }

  private CapacityTable(CapacityPolicy policy, Clock clock) {
    this.policy = policy;
    this.clock = clock;
  }

  /** Returns a table in which every endpoint is neutral. */
  public static CapacityTable create(CapacityPolicy policy, Clock clock) {
    return new CapacityTable(policy, clock);
  }

  /** Returns the order by which endpoints are chosen. */
  public ExpectedTimeOrder order() {
    return new ExpectedTimeOrder(policy.equalRatio());
  }

  /**
   * Called when an endpoint has answered a request.
   *
   * @param own requests of this process in progress there when it was sent, itself included
   * @param reported the same of all processes, as far as known
   */
  public void onLatency(InstanceId endpoint, int own, int reported, int slots, Duration latency) {
    Entry e = entry(endpoint);
    updateTrust(e, reported, slots, latency);
    int inFlight = (int) Math.round(inFlight(e, own, reported, slots));
    onSums(e, LatencySums.ofLatency(inFlight, latency), slots);
  }

  /** Called when an endpoint has failed a request; a refusal because of overload is no failure. */
  public void onFailure(InstanceId endpoint, int slots) {
    onSums(entry(endpoint), LatencySums.ofFailure(), slots);
  }

  private void onSums(Entry e, LatencySums sums, int slots) {
    e.own.onSums(sums, slots, clock.elapsed());
    e.pending = e.pending == null ? sums : e.pending.plus(sums);
  }

  /** Lowers the trust in the reported load if requests are as fast as at an idle endpoint. */
  private void updateTrust(Entry e, int reported, int slots, Duration latency) {
    double usual = e.own.latencyNanos(clock.elapsed());
    if (reported <= slots || usual == 0) {
      return;
    }
    boolean plausible = latency.toNanos() > policy.slowRatio() * usual;
    e.trust = plausible ? e.trust + TRUST_STEP * (1 - e.trust) : e.trust * (1 - TRUST_STEP);
  }

  /** Called with the load that an endpoint reports with a response. */
  public void onServerLoad(InstanceId endpoint, ServerLoad load) {
    Entry e = entry(endpoint);
    Duration now = clock.elapsed();
    e.loadAt = now;
    if (load.timeFactor() > 0) {
      e.averageFactor += FACTOR_WEIGHT * (load.timeFactor() - e.averageFactor);
      e.factor = load.timeFactor();
      e.factorAt = now;
    }
  }

  /** Returns and clears the sums since the last call, of at most the given number of endpoints. */
  public Map<InstanceId, LatencySums> takeSums(int maxEndpoints) {
    Map<InstanceId, LatencySums> out = new LinkedHashMap<>();
    entries.entrySet().stream()
        .filter(e -> e.getValue().pending != null)
        .sorted(
            Map.Entry.comparingByValue(
                (a, b) -> Integer.compare(urgency(b.pending), urgency(a.pending))))
        .limit(maxEndpoints)
        .forEach(e -> out.put(e.getKey(), e.getValue().pending));
    out.keySet().forEach(id -> entries.get(id).pending = null);
    return out;
  }

  /** Orders failures before latencies, and many samples before few. */
  private static int urgency(LatencySums sums) {
    return sums.samples() + (sums.failures() > 0 ? 1_000_000 : 0);
  }

  /** Called with the changed estimates of the coordinator; confirms all earlier ones. */
  public void onShared(Map<InstanceId, CapacityEstimate> changed) {
    if (sharedFreshness() == 0) {
      entries.values().forEach(e -> e.shared = null);
    }
    sharedAt = clock.elapsed();
    changed.forEach((id, estimate) -> entry(id).shared = estimate);
  }

  /** Forgets the endpoints that are no longer present. */
  public void retain(Set<InstanceId> present) {
    entries.keySet().retainAll(present);
  }

  /**
   * Returns the median of the known latencies of some endpoints in nanoseconds, which is assumed
   * for the others; 1 if none is known, so that only loads are compared.
   */
  public double neutralNanos(Collection<InstanceId> endpoints) {
    double[] known =
        endpoints.stream()
            .map(entries::get)
            .filter(e -> e != null)
            .mapToDouble(e -> knownNanos(e))
            .filter(n -> n > 0)
            .sorted()
            .toArray();
    return known.length == 0 ? 1 : known[(known.length - 1) / 2];
  }

  /**
   * Returns the expected time of one more request at an endpoint, relative to the neutral latency.
   *
   * @param own requests of this process in progress there
   * @param reported the same of all processes, as far as known
   */
  public double expectedNanos(
      InstanceId endpoint, int own, int reported, int slots, double neutralNanos) {
    Entry e = entries.get(endpoint);
    if (e == null) {
      double load = Math.max(own, reported) + 1.0;
      return CapacityEstimator.expectedNanos(neutralNanos, load, slots, 0);
    }
    Duration now = clock.elapsed();
    double confidence = Math.max(e.own.confidence(now), sharedLatencyWeight(e));
    double base = neutralNanos + confidence * (knownNanos(e) - neutralNanos);
    double load = inFlight(e, own, reported, slots) + 1;
    double failures = e.own.failureShare(now);
    if (isSharedFailing(e)) {
      failures = Math.max(failures, sharedFreshness());
    }
    double nanos = CapacityEstimator.expectedNanos(base, load, limit(e, slots), failures);
    return nanos * relativeFactor(e);
  }

  /** Returns the estimate of one endpoint for gauges and logs. */
  public CapacityEstimate estimate(InstanceId endpoint, int slots) {
    Entry e = entry(endpoint);
    boolean failing = isSharedFailing(e) || e.own.isFailing(clock.elapsed());
    int limit = failing ? 0 : (int) Math.max(1, Math.round(limit(e, slots)));
    return new CapacityEstimate(limit, Duration.ofNanos((long) knownNanos(e)));
  }

  private double knownNanos(Entry e) {
    double own = e.own.confidence(clock.elapsed());
    double shared = SHARED_WEIGHT * sharedLatencyWeight(e);
    if (own + shared == 0) {
      return 0;
    }
    double sharedNanos = shared == 0 ? 0 : e.shared.latency().toNanos();
    return (own * e.own.latencyNanos(clock.elapsed()) + shared * sharedNanos) / (own + shared);
  }

  private double limit(Entry e, int slots) {
    double own = e.own.confidence(clock.elapsed());
    boolean known = e.shared != null && !e.shared.isFailing();
    double shared = known ? SHARED_WEIGHT * sharedLatencyWeight(e) : 0;
    if (own + shared == 0) {
      return slots;
    }
    double sharedLimit = known ? Math.min(slots, e.shared.limit()) : 0;
    double mean =
        (own * e.own.limit(slots, clock.elapsed()) + shared * sharedLimit) / (own + shared);
    double confidence = Math.max(own, shared / SHARED_WEIGHT);
    return slots + confidence * (mean - slots);
  }

  private boolean isSharedFailing(Entry e) {
    return e.shared != null && e.shared.isFailing() && sharedFreshness() > 0;
  }

  private double sharedLatencyWeight(Entry e) {
    return e.shared == null || e.shared.latency().isZero() ? 0 : sharedFreshness();
  }

  private double sharedFreshness() {
    return sharedAt.isZero() ? 0 : policy.freshness(clock.elapsed().minus(sharedAt));
  }

  /** Returns the requests in progress, with others' requests weighted by how credible they are. */
  private double inFlight(Entry e, int own, int reported, int slots) {
    int others = Math.min(Math.max(0, reported - own), MAX_REPORTED_SLOTS * slots);
    return own + others * e.trust * freshness(e.loadAt, LOAD_FADE_START, LOAD_FADE_END);
  }

  private double relativeFactor(Entry e) {
    double relative = Math.max(1 / MAX_RELATIVE_FACTOR, e.factor / e.averageFactor);
    double weight =
        e.factorAt == null ? 0 : freshness(e.factorAt, FACTOR_FADE_START, FACTOR_FADE_END);
    return 1 + weight * (Math.min(MAX_RELATIVE_FACTOR, relative) - 1);
  }

  /** Returns the weight of a report; one without a time comes from announcements and is current. */
  private double freshness(Duration at, Duration start, Duration end) {
    if (at == null) {
      return 1;
    }
    double fading = clock.elapsed().minus(at).minus(start).toNanos();
    return Math.max(0, Math.min(1, 1 - fading / end.minus(start).toNanos()));
  }

  private Entry entry(InstanceId endpoint) {
    return entries.computeIfAbsent(endpoint, id -> new Entry(policy));
  }
}
