package org.carobhoist.server.gateway;

import java.util.random.RandomGenerator;
import org.carobhoist.core.common.Clock;
import org.carobhoist.core.common.Zone;
import org.carobhoist.core.membership.EndpointDirectory;
import org.carobhoist.core.membership.RegisteredServers;
import org.carobhoist.core.request.RetryBudget;
import org.carobhoist.core.routing.Router;
import org.carobhoist.server.metrics.RequestMetrics;
import org.carobhoist.server.runtime.DecisionLoop;

/** What every forwarded call needs. */
record ForwardContext(
    DecisionLoop loop,
    Clock clock,
    Zone zone,
    RandomGenerator random,
    Router router,
    EndpointDirectory directory,
    RegisteredServers servers,
    RetryBudget budget,
    Upstreams upstreams,
    RequestMetrics metrics) {}
