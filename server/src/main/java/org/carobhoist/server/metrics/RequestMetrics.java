package org.carobhoist.server.metrics;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.Timer;
import java.time.Duration;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Predicate;
import org.carobhoist.core.common.ServiceName;
import org.carobhoist.core.common.Verdict;

/**
 * Request metrics of an entry by service and verdict. Callers choose the service name, so to bound
 * the cardinality only names that an endpoint has announced get their own series, up to a maximum;
 * all others share one. Used on the decision loop only.
 */
public final class RequestMetrics {

  private static final int MAX_SERVICES = 64;
  private static final String OTHER = "other";
  private static final Duration[] BUCKETS = {
    Duration.ofMillis(10),
    Duration.ofMillis(50),
    Duration.ofMillis(250),
    Duration.ofSeconds(1),
    Duration.ofSeconds(5),
    Duration.ofSeconds(30)
  };

  private final ProcessMetrics metrics;
  private final Predicate<ServiceName> announced;
  private final Map<String, Series> byService = new HashMap<>();
  private final Counter delivered;

  private record Series(Map<Verdict, Counter> ended, Timer time, Counter retries) {}

  private RequestMetrics(ProcessMetrics metrics, Predicate<ServiceName> announced) {
    this.metrics = metrics;
    this.announced = announced;
    this.delivered =
        Counter.builder(Metric.SAMPLES_DELIVERED.id())
            .description(Metric.SAMPLES_DELIVERED.meaning())
            .register(metrics.registry());
  }

  /**
   * Creates the request metrics of an entry.
   *
   * @param announced whether an endpoint of the service is known
   */
  public static RequestMetrics create(ProcessMetrics metrics, Predicate<ServiceName> announced) {
    return new RequestMetrics(metrics, announced);
  }

  /** Called when a request has ended. */
  public void onEnd(ServiceName service, Verdict verdict, Duration took) {
    Series series = series(service);
    series.ended().get(verdict).increment();
    series.time().record(took);
  }

  /** Called for each attempt after a request's first one. */
  public void onRetry(ServiceName service) {
    series(service).retries().increment();
  }

  /** Called when samples have been delivered to a trainer. */
  public void onDelivered(int samples) {
    delivered.increment(samples);
  }

  private Series series(ServiceName service) {
    Series known = byService.get(service.value());
    if (known != null) {
      return known;
    }
    boolean hasOwnSeries = announced.test(service) && byService.size() < MAX_SERVICES;
    return byService.computeIfAbsent(hasOwnSeries ? service.value() : OTHER, this::newSeries);
  }

  private Series newSeries(String service) {
    Map<Verdict, Counter> ended = new EnumMap<>(Verdict.class);
    for (Verdict verdict : Verdict.values()) {
      ended.put(verdict, counter(Metric.REQUESTS, "service", service, "verdict", verdict.name()));
    }
    Timer time =
        Timer.builder(Metric.REQUEST_TIME.id())
            .description(Metric.REQUEST_TIME.meaning())
            .tag("service", service)
            .serviceLevelObjectives(BUCKETS)
            .register(metrics.registry());
    return new Series(ended, time, counter(Metric.RETRIES, "service", service));
  }

  private Counter counter(Metric metric, String... tags) {
    return Counter.builder(metric.id())
        .description(metric.meaning())
        .tags(tags)
        .register(metrics.registry());
  }
}
