package org.carobhoist.core.bench;

import java.time.Duration;
import java.util.Collections;
import java.util.List;
import org.HdrHistogram.Histogram;
import org.carobhoist.core.common.Refusal;
import org.carobhoist.core.common.RefusalReason;

/** Statistics of the counted requests of a simulation. */
final class TrafficResult {

  private static final int SIGNIFICANT_DIGITS = 3;

  private final Histogram latencyMicros = new Histogram(SIGNIFICANT_DIGITS);
  private long offered;
  private long refused;
  private long late;
  private long failed;
  private long hits;
  private long lookups;
  private List<Long> endpointCounts = List.of();

  void onOffered() {
    offered++;
  }

  void onCompleted(Duration took) {
    latencyMicros.recordValue(took.toNanos() / 1_000);
  }

  void onRefused(Refusal refusal) {
    if (refusal.reason() == RefusalReason.DEADLINE) {
      late++;
    } else if (refusal.reason() == RefusalReason.OVERLOADED) {
      refused++;
    } else {
      failed++;
    }
  }

  void onCacheLookup(boolean hit) {
    lookups++;
    hits += hit ? 1 : 0;
  }

  void setEndpointCounts(List<Long> counts) {
    endpointCounts = List.copyOf(counts);
  }

  long offered() {
    return offered;
  }

  long completed() {
    return latencyMicros.getTotalCount();
  }

  /** Returns the number of requests refused because of overload. */
  long refused() {
    return refused;
  }

  /** Returns the number of requests that had no answer by their deadline. */
  long late() {
    return late;
  }

  /** Returns the number of requests that failed for another reason. */
  long failed() {
    return failed;
  }

  Duration p50() {
    return percentile(50);
  }

  Duration p99() {
    return percentile(99);
  }

  double hitRate() {
    return lookups == 0 ? 0 : (double) hits / lookups;
  }

  /** Returns the requests handled by the busiest endpoint as a multiple of the mean. */
  double imbalance() {
    double mean = endpointCounts.stream().mapToLong(n -> n).average().orElse(0);
    return Collections.max(endpointCounts) / mean;
  }

  private Duration percentile(double p) {
    return Duration.ofNanos(latencyMicros.getValueAtPercentile(p) * 1_000);
  }
}
