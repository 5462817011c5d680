package org.carobhoist.server.metrics;

import io.micrometer.core.instrument.FunctionCounter;
import io.micrometer.core.instrument.Gauge;
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
 * The metrics of one process. Gauges may read state of the decision loop: the page is written on
 * the loop. A probe tells every second how long a task waits there.
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

  /** Returns the metrics that every process has: events, the decision loop and memory. */
  public static ProcessMetrics create(DecisionLoop loop) {
    ProcessMetrics metrics = new ProcessMetrics(loop);
    metrics.gauge(Metric.LOOP_LAG, () -> metrics.lagNanos / NANOS_PER_SECOND);
    metrics.addMemory();
    metrics.addEvents();
    return metrics;
  }

  /** Begins to probe the decision loop. */
  public void start() {
    loop.every(PROBE_PERIOD, this::probe);
  }

  /** Adds a gauge that is read on the decision loop. */
  public void gauge(Metric metric, Supplier<Number> value) {
    taggedGauge(metric, Tags.empty(), value);
  }

  /** Returns the registry, for counters and timers. */
  PrometheusMeterRegistry registry() {
    return registry;
  }

  /** Returns the Prometheus page, written on the decision loop. */
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

  /** Waits behind whatever is queued on the loop now. */
  private void probe() {
    long start = System.nanoTime();
    loop.execute(() -> lagNanos = System.nanoTime() - start);
  }
}
