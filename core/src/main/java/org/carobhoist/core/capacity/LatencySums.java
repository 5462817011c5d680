package org.carobhoist.core.capacity;

import java.time.Duration;

/**
 * Sums over the requests to one endpoint in a short period.
 *
 * @param inFlight mean number of requests in progress at the endpoint when these were sent, each
 *     request itself included
 * @param samples requests with a latency
 * @param sum sum of the latencies
 * @param min smallest latency; zero without samples
 * @param failures failed requests, which are not part of the samples
 */
public record LatencySums(int inFlight, int samples, Duration sum, Duration min, int failures) {

  /** Returns the sums of one answered request. */
  public static LatencySums ofLatency(int inFlight, Duration latency) {
    return new LatencySums(inFlight, 1, latency, latency, 0);
  }

  /** Returns the sums of one failed request. */
  public static LatencySums ofFailure() {
    return new LatencySums(0, 0, Duration.ZERO, Duration.ZERO, 1);
  }

  /** Returns the sums of both periods together. */
  public LatencySums plus(LatencySums other) {
    if (samples == 0 || other.samples == 0) {
      LatencySums measured = samples == 0 ? other : this;
      return new LatencySums(
          measured.inFlight,
          measured.samples,
          measured.sum,
          measured.min,
          failures + other.failures);
    }
    int total = samples + other.samples;
    long inFlightSum = (long) inFlight * samples + (long) other.inFlight * other.samples;
    return new LatencySums(
        (int) Math.round((double) inFlightSum / total),
        total,
        sum.plus(other.sum),
        min.compareTo(other.min) < 0 ? min : other.min,
        failures + other.failures);
  }

  /** Returns the mean latency, at least 1 ns, since a peer may report any sum. */
  double meanNanos() {
    return Math.max(1, (double) sum.toNanos() / samples);
  }
}
