package org.carobhoist.core.routing;

import java.time.Duration;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.carobhoist.core.common.Clock;
import org.carobhoist.core.common.InstanceId;

/**
 * Ejects endpoints of one service that fail repeatedly or respond far more slowly than their peers.
 * Only a share of the endpoints may be ejected at the same time, and those ejected earliest take
 * precedence: if more endpoints look faulty, the cause is probably elsewhere. After its ejection
 * time an endpoint gets one request as a probe. A timely response reinstates it; a failure or a
 * slow response ejects it again for twice as long.
 */
final class OutlierDetector {

  private static final double LATENCY_AVERAGE_WEIGHT = 0.2;
  private static final int MIN_LATENCY_SAMPLES = 10;
  private static final int MAX_EJECTION_DOUBLINGS = 5;
  private static final Duration MIN_MEDIAN_LATENCY = Duration.ofMillis(5);

  private final RouterPolicy policy;
  private final Clock clock;
  private final Map<InstanceId, Health> healthByEndpoint = new HashMap<>();

  private static final class Health {
    private int consecutiveFailures;
    private double averageLatencyNanos;
    private int samples;
    private int ejections;
    private Duration ejectedAt;
    private Duration ejectedUntil;
    private Duration probeUntil = Duration.ZERO;

    private boolean isEjected() {
      return ejectedUntil != null;
    }
  }

  OutlierDetector(RouterPolicy policy, Clock clock) {
    this.policy = policy;
    this.clock = clock;
  }

  /** Called when an endpoint has responded, with the latency of the response. */
  void onSuccess(InstanceId endpoint, Duration latency) {
    Health h = healthByEndpoint.computeIfAbsent(endpoint, key -> new Health());
    h.consecutiveFailures = 0;
    if (h.isEjected() && h.samples > 0 && isSlow(latency.toNanos(), medianOfOthers(endpoint))) {
      eject(h);
      return;
    }
    if (h.isEjected()) {
      h.ejectedUntil = null;
      h.samples = 0;
    }
    h.averageLatencyNanos =
        h.samples == 0
            ? latency.toNanos()
            : h.averageLatencyNanos
                + LATENCY_AVERAGE_WEIGHT * (latency.toNanos() - h.averageLatencyNanos);
    h.samples++;
    if (h.samples >= MIN_LATENCY_SAMPLES) {
      h.ejections = isSlow(h.averageLatencyNanos, medianOfOthers(endpoint)) ? h.ejections : 0;
    }
  }

  /** Called when a request failed at the endpoint or on the way to it. */
  void onFailure(InstanceId endpoint) {
    Health h = healthByEndpoint.computeIfAbsent(endpoint, key -> new Health());
    h.consecutiveFailures++;
    if (h.isEjected() || h.consecutiveFailures >= policy.failuresToEject()) {
      eject(h);
    }
  }

  /** Returns which of the service's endpoints must not be selected now. */
  Set<InstanceId> ejected(Collection<EndpointView> peers) {
    peers.forEach(e -> ejectIfSlow(e.instance()));
    Duration now = clock.elapsed();
    int maxEjected = (int) (peers.size() * policy.maxEjectedShare());
    List<InstanceId> excluded =
        peers.stream()
            .map(EndpointView::instance)
            .filter(
                i -> healthByEndpoint.containsKey(i) && isExcluded(healthByEndpoint.get(i), now))
            .sorted(Comparator.comparing(i -> healthByEndpoint.get(i).ejectedAt))
            .limit(maxEjected)
            .toList();
    return new HashSet<>(excluded);
  }

  /** Called when an endpoint is selected; for an ejected endpoint the request is its probe. */
  void onChosen(InstanceId endpoint) {
    Health h = healthByEndpoint.get(endpoint);
    if (h != null && h.isEjected()) {
      h.probeUntil = clock.elapsed().plus(policy.ejectionTime());
    }
  }

  private boolean isExcluded(Health h, Duration now) {
    boolean ejectionRunning = h.isEjected() && h.ejectedUntil.compareTo(now) > 0;
    boolean probeRunning = h.isEjected() && h.probeUntil.compareTo(now) > 0;
    return ejectionRunning || probeRunning;
  }

  private void ejectIfSlow(InstanceId endpoint) {
    Health h = healthByEndpoint.get(endpoint);
    if (h == null || h.isEjected() || h.samples < MIN_LATENCY_SAMPLES) {
      return;
    }
    if (isSlow(h.averageLatencyNanos, medianOfOthers(endpoint))) {
      eject(h);
    }
  }

  private boolean isSlow(double nanos, double median) {
    return median > 0
        && nanos > policy.maxLatencyRatio() * Math.max(median, MIN_MEDIAN_LATENCY.toNanos());
  }

  private double medianOfOthers(InstanceId endpoint) {
    List<Double> sorted =
        healthByEndpoint.entrySet().stream()
            .filter(e -> !e.getKey().equals(endpoint))
            .map(Map.Entry::getValue)
            .filter(h -> !h.isEjected() && h.samples >= MIN_LATENCY_SAMPLES)
            .map(h -> h.averageLatencyNanos)
            .sorted()
            .toList();
    return sorted.isEmpty() ? 0 : sorted.get(sorted.size() / 2);
  }

  private void eject(Health h) {
    Duration now = clock.elapsed();
    long factor = 1L << Math.min(MAX_EJECTION_DOUBLINGS, h.ejections);
    h.ejectedAt = h.isEjected() ? h.ejectedAt : now;
    h.ejectedUntil = now.plus(policy.ejectionTime().multipliedBy(factor));
    h.probeUntil = Duration.ZERO;
    h.ejections++;
    h.consecutiveFailures = 0;
  }
}
