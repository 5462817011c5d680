package org.carobhoist.core.capacity;

import java.time.Duration;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.carobhoist.core.common.Clock;
import org.carobhoist.core.common.InstanceId;

/**
 * Merges the samples of all gateways at the coordinator and decides which estimates to send. An
 * endpoint counts as failing only if several gateways see failures: one alone may have a faulty
 * path to it.
 */
public final class CapacityAggregator {

  /** Change of a limit or latency from which it is sent again. */
  private static final double MIN_CHANGE = 1.1;

  private static final int MIN_FAILING_GATEWAYS = 2;

  /** Time for which a gateway's failures count towards those of several gateways. */
  private static final Duration FAILURE_MEMORY = Duration.ofSeconds(3);

  private static final CapacityEstimate UNKNOWN = new CapacityEstimate(1, Duration.ZERO);

  private final CapacityPolicy policy;
  private final Clock clock;
  private final Map<InstanceId, Entry> entries = new HashMap<>();

  private static final class Entry {
    private final CapacityEstimator estimator;
    private final Map<InstanceId, Duration> failuresByGateway = new HashMap<>();
    private CapacityEstimate sent = UNKNOWN;
    private boolean resend;
    private int slots;

    private Entry(CapacityPolicy policy) {
      this.estimator = new CapacityEstimator(policy);
    }
  }

  private CapacityAggregator(CapacityPolicy policy, Clock clock) {
    this.policy = policy;
    this.clock = clock;
  }

  /** Returns an aggregator without samples. */
  public static CapacityAggregator create(CapacityPolicy policy, Clock clock) {
    return new CapacityAggregator(policy, clock);
  }

  /** Called with the sums of one gateway about an endpoint with the given announced slots. */
  public void onSums(InstanceId gateway, InstanceId endpoint, LatencySums sums, int slots) {
    Entry e = entries.computeIfAbsent(endpoint, id -> new Entry(policy));
    Duration now = clock.elapsed();
    e.slots = slots;
    e.estimator.onSums(sums, slots, now);
    if (sums.failures() > 0) {
      e.failuresByGateway.put(gateway, now);
    }
  }

  /**
   * Returns the estimates that have changed since they were last returned, at most the given
   * number, those that changed most first.
   */
  public Map<InstanceId, CapacityEstimate> takeChanges(int maxEndpoints) {
    Map<InstanceId, CapacityEstimate> changes = new HashMap<>();
    entries.forEach(
        (id, e) -> {
          CapacityEstimate current = estimate(e);
          if (e.resend || current.ratioTo(e.sent) >= MIN_CHANGE) {
            changes.put(id, current);
          }
        });
    Comparator<InstanceId> byChange =
        Comparator.comparingDouble(id -> changes.get(id).ratioTo(entries.get(id).sent));
    List<InstanceId> chosen =
        changes.keySet().stream()
            .sorted(byChange.reversed().thenComparing(id -> id))
            .limit(maxEndpoints)
            .toList();
    Map<InstanceId, CapacityEstimate> out = new LinkedHashMap<>();
    for (InstanceId id : chosen) {
      entries.get(id).sent = changes.get(id);
      entries.get(id).resend = false;
      out.put(id, changes.get(id));
    }
    entries.values().removeIf(e -> isForgotten(e));
    return out;
  }

  private boolean isForgotten(Entry e) {
    return e.failuresByGateway.isEmpty()
        && !e.resend
        && e.sent.equals(UNKNOWN)
        && estimate(e).equals(UNKNOWN);
  }

  /** Sends all estimates again, because a gateway has joined that knows none. */
  public void resendAll() {
    entries.values().forEach(e -> e.resend = true);
  }

  /** Forgets all samples, because another process coordinates. */
  public void clear() {
    entries.clear();
  }

  private CapacityEstimate estimate(Entry e) {
    Duration now = clock.elapsed();
    Duration latency = Duration.ofNanos((long) e.estimator.latencyNanos(now));
    e.failuresByGateway.values().removeIf(at -> now.minus(at).compareTo(FAILURE_MEMORY) > 0);
    boolean failing =
        e.failuresByGateway.size() >= MIN_FAILING_GATEWAYS && e.estimator.isFailing(now);
    if (failing) {
      return new CapacityEstimate(0, latency);
    }
    if (latency.isZero()) {
      return UNKNOWN;
    }
    int limit = (int) Math.max(1, Math.round(e.estimator.limit(e.slots, now)));
    return new CapacityEstimate(limit, latency);
  }
}
