package org.carobhoist.server.entry;

import org.carobhoist.core.common.Clock;
import org.carobhoist.core.common.Zone;
import org.carobhoist.core.request.RetryBudget;
import org.carobhoist.core.routing.Router;
import org.carobhoist.server.metrics.RequestMetrics;
import org.carobhoist.server.runtime.DecisionLoop;

/**
 * What the calls of one entry share.
 *
 * @param loop the decision loop
 * @param clock the clock
 * @param zone the entry's availability zone
 * @param links links to the sidecars
 * @param table attempts in flight
 * @param router chooses endpoints
 * @param budget the entry's retry budget
 * @param keys finds the endpoints of keyed requests
 * @param metrics counts what the calls come to
 */
record CallContext(
    DecisionLoop loop,
    Clock clock,
    Zone zone,
    LinkPool links,
    CallTable table,
    Router router,
    RetryBudget budget,
    KeyRouter keys,
    RequestMetrics metrics) {}
