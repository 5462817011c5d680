package org.carobhoist.core.request;

import java.util.function.LongPredicate;
import java.util.function.Supplier;
import org.carobhoist.core.chart.StateChart;
import org.carobhoist.core.common.Verdict;
import org.carobhoist.core.idempotency.GateRules;

/**
 * The rules that a simulated world runs by.
 *
 * @param gate rules of the sidecars' gates
 * @param chart chart of requests
 * @param retry rule of retries
 * @param starts makes the check of one link's starts of calls
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
