package org.carobhoist.core.usage;

import java.util.Map;
import java.util.OptionalLong;
import java.util.TreeMap;
import org.carobhoist.core.common.InstanceId;

/**
 * The median of the times of day that the gateways report, so that a minority of wrong clocks has
 * no effect on it. Each time of day is kept as the moment at which the coordinator's monotonic
 * clock was zero according to it.
 */
final class ClockMedian {

  private final Map<InstanceId, Long> origins = new TreeMap<>();

  void clear() {
    origins.clear();
  }

  void onReport(InstanceId gateway, long wallMillis, long elapsedMillis) {
    origins.put(gateway, wallMillis - elapsedMillis);
  }

  /** Returns the moment at which the monotonic clock was zero; of two, the mean. */
  OptionalLong origin() {
    long[] sorted = origins.values().stream().mapToLong(Long::longValue).sorted().toArray();
    if (sorted.length == 0) {
      return OptionalLong.empty();
    }
    long lower = sorted[(sorted.length - 1) / 2];
    long upper = sorted[sorted.length / 2];
    return OptionalLong.of(lower + (upper - lower) / 2);
  }
}
