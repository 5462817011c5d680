package org.carobhoist.core.usage;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.carobhoist.core.common.ServiceName;

/**
 * Estimates how long the servers of a service usually take for a plain request once they have begun
 * it. A latency also contains the time in the server's queue, so the estimate follows short
 * latencies fast and long ones slowly.
 */
public final class UsualServiceTime {

  private static final double SHORTER_WEIGHT = 0.2;
  private static final double LONGER_WEIGHT = 0.02;

  private final Map<ServiceName, Double> millisByService = new HashMap<>();

  /** Records the latency of a request. */
  public void onLatency(ServiceName service, Duration latency) {
    double millis = latency.toMillis();
    millisByService.merge(
        service,
        millis,
        (old, sample) -> old + (sample < old ? SHORTER_WEIGHT : LONGER_WEIGHT) * (sample - old));
  }

  /**
   * Returns when a server began a request: the answer's arrival minus the usual service time, but
   * not before the request was sent.
   */
  public Duration beganAt(ServiceName service, Duration sentAt, Duration answeredAt) {
    long usual = Optional.ofNullable(millisByService.get(service)).orElse(0.0).longValue();
    Duration began = answeredAt.minusMillis(usual);
    return began.compareTo(sentAt) > 0 ? began : sentAt;
  }
}
