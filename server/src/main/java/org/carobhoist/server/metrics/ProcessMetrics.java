package org.carobhoist.server.metrics;

import io.micrometer.core.instrument.FunctionCounter;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.MultiGauge;
import io.micrometer.core.instrument.Tags;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import java.lang.management.ManagementFactory;
import java.lang.management.MemoryMXBean;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.carobhoist.server.log.EventLog;
import org.carobhoist.server.log.LogEvent;
import org.carobhoist.server.runtime.DecisionLoop;

/**
 * The metrics registry of one process. Scrapes run on the decision loop, so gauges may read state
 * that is confined to it. Once a second a probe measures the queueing delay of a task on the loop.
 */
public final class ProcessMetrics {

  private static final Duration PROBE_PERIOD = Duration.ofSeconds(1);
  private static final double NANOS_PER_SECOND = 1e9;

  private final PrometheusMeterRegistry registry =
      new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
  private final DecisionLoop loop;
  private long lagNanos;

  private ProcessMetrics(DecisionLoop loop) {
    this.loop = loop;
  }

  /** Creates a registry with the common metrics: log events, loop lag and memory. */
  public static ProcessMetrics create(DecisionLoop loop) {
    ProcessMetrics metrics = new ProcessMetrics(loop);
    metrics.gauge(Metric.LOOP_LAG, () -> metrics.lagNanos / NANOS_PER_SECOND);
    metrics.addMemory();
    metrics.addEvents();
    return metrics;
  }

  /** Starts probing the decision loop. */
  public void start() {
    loop.every(PROBE_PERIOD, this::probe);
  }

  /** Adds a gauge that is read on the decision loop. */
  public void gauge(Metric metric, Supplier<Number> value) {
    taggedGauge(metric, Tags.empty(), value);
  }

  /** Adds one of several gauges with the same name, which is read on the decision loop. */
  public void gauge(Metric metric, String tag, String tagValue, Supplier<Number> value) {
    taggedGauge(metric, Tags.of(tag, tagValue), value);
  }

  /** Adds a gauge with a set of tagged series that its owner replaces on the decision loop. */
  public MultiGauge multiGauge(Metric metric) {
    return MultiGauge.builder(metric.id())
        .description(metric.meaning())
        .baseUnit(metric.unit().isEmpty() ? null : metric.unit())
        .register(registry);
  }

  /** Returns the registry, for counters and timers. */
  PrometheusMeterRegistry registry() {
    return registry;
  }

  /** Returns the metrics in the Prometheus text format, rendered on the decision loop. */
  public CompletableFuture<String> scrape() {
    return loop.call(registry::scrape);
  }

  private void taggedGauge(Metric metric, Tags tags, Supplier<Number> value) {
    Gauge.builder(metric.id(), value)
        .description(metric.meaning())
        .baseUnit(metric.unit().isEmpty() ? null : metric.unit())
        .tags(tags)
        .register(registry);
  }

  private void addMemory() {
    MemoryMXBean memory = ManagementFactory.getMemoryMXBean();
    taggedGauge(
        Metric.MEMORY, Tags.of("area", "heap"), () -> memory.getHeapMemoryUsage().getUsed());
    taggedGauge(
        Metric.MEMORY, Tags.of("area", "nonheap"), () -> memory.getNonHeapMemoryUsage().getUsed());
  }

  private void addEvents() {
    for (LogEvent event : LogEvent.values()) {
      FunctionCounter.builder(Metric.EVENTS.id(), event, EventLog::count)
          .description(Metric.EVENTS.meaning())
          .tag("event", Integer.toString(event.number()))
          .register(registry);
    }
  }

  /** Measures how long a task waits behind those that are already queued on the loop. */
  private void probe() {
    long start = System.nanoTime();
    loop.execute(() -> lagNanos = System.nanoTime() - start);
  }
}
