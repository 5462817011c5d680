package org.carobhoist.core.request;

import java.util.function.LongPredicate;
import java.util.function.Supplier;
import org.carobhoist.core.chart.StateChart;
import org.carobhoist.core.common.Verdict;
import org.carobhoist.core.idempotency.GateRules;

/**
 * Rules of a simulation, each of which a test may replace with a faulty one.
 *
 * @param gate rules of the key gates of the sidecars
 * @param chart state chart of requests
 * @param retry decides whether a verdict permits a retry
 * @param starts creates the filter for duplicate call starts of one link
 */
record WorldRules(
    GateRules gate,
    StateChart<RequestState, RequestEvent, RequestAction> chart,
    RetryRule retry,
    Supplier<LongPredicate> starts) {

  static WorldRules sound() {
    return new WorldRules(
        GateRules.sound(),
        RequestRun.chart(),
        Verdict::allowsRetry,
        () -> CallSequence.create()::isNew);
  }

  WorldRules with(GateRules value) {
    return new WorldRules(value, chart, retry, starts);
  }

  WorldRules with(StateChart<RequestState, RequestEvent, RequestAction> value) {
    return new WorldRules(gate, value, retry, starts);
  }

  WorldRules with(RetryRule value) {
    return new WorldRules(gate, chart, value, starts);
  }

  WorldRules with(Supplier<LongPredicate> value) {
    return new WorldRules(gate, chart, retry, value);
  }
}
