package org.carobhoist.server.entry;

import org.carobhoist.core.common.Clock;
import org.carobhoist.core.common.Zone;
import org.carobhoist.core.request.DrainDeadline;
import org.carobhoist.core.request.RetryBudget;
import org.carobhoist.core.routing.Router;
import org.carobhoist.server.metrics.RequestMetrics;
import org.carobhoist.server.runtime.DecisionLoop;

/**
 * The collaborators that all calls of one entry share.
 *
 * @param loop the decision loop
 * @param clock the clock
 * @param zone the entry's availability zone
 * @param links pool of links to the sidecars
 * @param callTable table of the attempts in flight
 * @param router chooses endpoints
 * @param budget the entry's retry budget
 * @param keyRouter routes requests that carry an idempotency key
 * @param metrics records the outcomes of the calls
 * @param drain limits which calls are admitted while the entry drains
 */
record CallContext(
    DecisionLoop loop,
    Clock clock,
    Zone zone,
    LinkPool links,
    CallTable callTable,
    Router router,
    RetryBudget budget,
    KeyRouter keyRouter,
    RequestMetrics metrics,
    DrainDeadline drain) {}
