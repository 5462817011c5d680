package org.carobhoist.server.gateway.capacity;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;
import org.carobhoist.core.capacity.CapacityEstimate;
import org.carobhoist.core.capacity.LatencySums;
import org.carobhoist.core.common.InstanceId;
import org.carobhoist.server.link.proto.CapacityUpdate;
import org.carobhoist.server.link.proto.EndpointCapacity;
import org.carobhoist.server.link.proto.EndpointLatency;
import org.carobhoist.server.link.proto.LatencyReport;
import org.carobhoist.server.link.proto.LinkFrame;

/** Converts measured latencies and capacities to and from messages. */
final class CapacityMapper {

  private static final int NANOS_PER_MICRO = 1_000;

  private CapacityMapper() {}

  static LinkFrame reportFrame(long term, Map<InstanceId, LatencySums> sums) {
    LatencyReport.Builder out = LatencyReport.newBuilder().setTerm(term);
    sums.forEach(
        (endpoint, s) ->
            out.addLatencies(
                EndpointLatency.newBuilder()
                    .setEndpoint(endpoint.value())
                    .setInFlight(s.inFlight())
                    .setSamples(s.samples())
                    .setSumMicros(s.sum().toNanos() / NANOS_PER_MICRO)
                    .setMinMicros(s.min().toNanos() / NANOS_PER_MICRO)
                    .setFailures(s.failures())));
    return LinkFrame.newBuilder().setLatencyReport(out).build();
  }

  static Map<InstanceId, LatencySums> sums(LatencyReport report) {
    Map<InstanceId, LatencySums> out = new LinkedHashMap<>();
    for (EndpointLatency l : report.getLatenciesList()) {
      LatencySums sums =
          new LatencySums(
              l.getInFlight(),
              l.getSamples(),
              micros(l.getSumMicros()),
              micros(l.getMinMicros()),
              l.getFailures());
      if (sums.samples() + sums.failures() > 0) {
        out.put(new InstanceId(l.getEndpoint()), sums);
      }
    }
    return out;
  }

  static LinkFrame updateFrame(long term, Map<InstanceId, CapacityEstimate> estimates) {
    CapacityUpdate.Builder out = CapacityUpdate.newBuilder().setTerm(term);
    estimates.forEach(
        (endpoint, e) ->
            out.addCapacities(
                EndpointCapacity.newBuilder()
                    .setEndpoint(endpoint.value())
                    .setLimit(e.limit())
                    .setLatencyMicros(e.latency().toNanos() / NANOS_PER_MICRO)));
    return LinkFrame.newBuilder().setCapacityUpdate(out).build();
  }

  static Map<InstanceId, CapacityEstimate> estimates(CapacityUpdate update) {
    Map<InstanceId, CapacityEstimate> out = new LinkedHashMap<>();
    for (EndpointCapacity c : update.getCapacitiesList()) {
      out.put(
          new InstanceId(c.getEndpoint()),
          new CapacityEstimate(c.getLimit(), micros(c.getLatencyMicros())));
    }
    return out;
  }

  private static Duration micros(long micros) {
    return Duration.ofNanos(micros * NANOS_PER_MICRO);
  }
}
