package org.carobhoist.server.gateway.ingress;

import com.linecorp.armeria.common.ResponseHeaders;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.carobhoist.core.capacity.CapacityTable;
import org.carobhoist.core.common.Clock;
import org.carobhoist.core.common.InstanceId;
import org.carobhoist.core.common.Zone;
import org.carobhoist.core.limit.BufferBudget;
import org.carobhoist.core.membership.EndpointDirectory;
import org.carobhoist.core.membership.RegisteredServers;
import org.carobhoist.core.request.DrainDeadline;
import org.carobhoist.core.request.RetryBudget;
import org.carobhoist.core.routing.Router;
import org.carobhoist.platform.CallHeaders;
import org.carobhoist.server.gateway.capacity.AttemptMeasurement;
import org.carobhoist.server.gateway.upstream.UpstreamClients;
import org.carobhoist.server.gateway.usage.UsageRecorder;
import org.carobhoist.server.metrics.RequestMetrics;
import org.carobhoist.server.runtime.DecisionLoop;

/** Shared dependencies of forwarded calls and reward calls. */
public record ForwardContext(
    DecisionLoop loop,
    Clock clock,
    Zone zone,
    RandomGenerator random,
    Router router,
    CapacityTable capacities,
    EndpointDirectory directory,
    RegisteredServers servers,
    RetryBudget budget,
    UpstreamClients upstreams,
    BufferBudget buffers,
    RequestMetrics metrics,
    DrainDeadline drain,
    Supplier<UsageRecorder> usage) {

  /** Begins to measure an attempt that the directory already counts as in progress. */
  public AttemptMeasurement measure(InstanceId endpoint) {
    return new AttemptMeasurement(capacities, directory, clock, endpoint);
  }

  /** Records the load and the shutdown notice that a server reports in its response headers. */
  public void onResponseHeaders(InstanceId endpoint, ResponseHeaders head) {
    CallHeaders.load(head)
        .ifPresent(
            load -> {
              directory.onLoad(endpoint, load.inFlight());
              capacities.onServerLoad(endpoint, load);
            });
    if (CallHeaders.isLeaving(head)) {
      servers.onLeavingReported(endpoint);
    }
  }
}
