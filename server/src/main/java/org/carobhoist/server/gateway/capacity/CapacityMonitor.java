package org.carobhoist.server.gateway.capacity;

import io.micrometer.core.instrument.MultiGauge;
import io.micrometer.core.instrument.Tags;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import org.carobhoist.core.capacity.CapacityEstimate;
import org.carobhoist.core.capacity.CapacityTable;
import org.carobhoist.core.common.InstanceId;
import org.carobhoist.core.membership.EndpointDirectory;
import org.carobhoist.core.routing.EndpointView;
import org.carobhoist.server.log.EventLog;
import org.carobhoist.server.log.LogEvent;
import org.carobhoist.server.metrics.Metric;
import org.carobhoist.server.metrics.ProcessMetrics;

/** Exports the estimates of all endpoints as gauges and logs large changes of their limits. */
public final class CapacityMonitor {

  /** Bound of the series, for manifests with very many endpoints. */
  private static final int MAX_ENDPOINTS = 64;

  /** Relative change of a limit from which it is logged. */
  private static final double LOGGED_CHANGE = 1 / 3.0;

  private static final double NANOS_PER_SECOND = 1e9;

  private final CapacityTable table;
  private final EndpointDirectory directory;
  private final MultiGauge limits;
  private final MultiGauge latencies;
  private final Map<InstanceId, Integer> loggedLimits = new HashMap<>();

  /** Creates a monitor without series. */
  public CapacityMonitor(CapacityTable table, EndpointDirectory directory, ProcessMetrics metrics) {
    this.table = table;
    this.directory = directory;
    this.limits = metrics.multiGauge(Metric.CAPACITY_LIMIT);
    this.latencies = metrics.multiGauge(Metric.CAPACITY_LATENCY);
  }

  /** Updates the gauges and forgets endpoints that are gone; must be called every few seconds. */
  public void tick() {
    List<EndpointView> views = directory.views();
    table.retain(views.stream().map(EndpointView::instance).collect(Collectors.toSet()));
    List<MultiGauge.Row<?>> limitRows = new ArrayList<>();
    List<MultiGauge.Row<?>> latencyRows = new ArrayList<>();
    for (EndpointView v : views.subList(0, Math.min(MAX_ENDPOINTS, views.size()))) {
      CapacityEstimate estimate = table.estimate(v.instance(), v.limit());
      Tags tags = Tags.of("endpoint", v.instance().value());
      limitRows.add(MultiGauge.Row.of(tags, estimate.limit()));
      latencyRows.add(MultiGauge.Row.of(tags, estimate.latency().toNanos() / NANOS_PER_SECOND));
      logChange(v, estimate);
    }
    limits.register(limitRows, true);
    latencies.register(latencyRows, true);
    loggedLimits.keySet().retainAll(views.stream().map(EndpointView::instance).toList());
  }

  private void logChange(EndpointView view, CapacityEstimate estimate) {
    int former = loggedLimits.computeIfAbsent(view.instance(), id -> view.limit());
    if (Math.abs(estimate.limit() - former) < LOGGED_CHANGE * Math.max(1, former)) {
      return;
    }
    loggedLimits.put(view.instance(), estimate.limit());
    EventLog.info(
        LogEvent.CAPACITY_CHANGED,
        "endpoint",
        view.instance(),
        "service",
        view.service(),
        "limit",
        estimate.limit(),
        "former",
        former,
        "slots",
        view.limit(),
        "ms",
        estimate.latency().toMillis());
  }
}
