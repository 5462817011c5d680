package org.carobhoist.core.bench;

import java.time.Duration;
import java.util.Collections;
import java.util.List;
import org.HdrHistogram.Histogram;
import org.carobhoist.core.common.Refusal;
import org.carobhoist.core.common.RefusalReason;

/** What became of the counted requests of a simulation. */
final class TrafficResult {

  private static final int DIGITS = 3;

  private final Histogram micros = new Histogram(DIGITS);
  private long offered;
  private long refused;
  private long late;
  private long failed;
  private long hits;
  private long runs;
  private List<Long> endpointCounts = List.of();

  void onOffered() {
    offered++;
  }

  void onCompleted(Duration took) {
    micros.recordValue(took.toNanos() / 1_000);
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

  void onRun(boolean hit) {
    runs++;
    hits += hit ? 1 : 0;
  }

  void setEndpointCounts(List<Long> counts) {
    endpointCounts = List.copyOf(counts);
  }

  long offered() {
    return offered;
  }

  long completed() {
    return micros.getTotalCount();
  }

  /** Returns requests refused at once for overload. */
  long refused() {
    return refused;
  }

  /** Returns requests that had no answer at their deadline. */
  long late() {
    return late;
  }

  /** Returns requests that failed otherwise. */
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
    return runs == 0 ? 0 : (double) hits / runs;
  }

  /** Returns the most work of an endpoint as a multiple of the mean. */
  double imbalance() {
    double mean = endpointCounts.stream().mapToLong(n -> n).average().orElse(0);
    return Collections.max(endpointCounts) / mean;
  }

  private Duration percentile(double p) {
    return Duration.ofNanos(micros.getValueAtPercentile(p) * 1_000);
  }
}
