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
 * @param startFilter creates the filter for duplicate call starts of one link
 */
record SimulationRules(
    GateRules gate,
    StateChart<RequestState, RequestEvent, RequestAction> chart,
    RetryRule retry,
    Supplier<LongPredicate> startFilter) {

  static SimulationRules sound() {
    return new SimulationRules(
        GateRules.sound(),
        RequestStateMachine.chart(),
        Verdict::allowsRetry,
        () -> CallStartFilter.create()::acceptIfNew);
  }

  SimulationRules with(GateRules value) {
    return new SimulationRules(value, chart, retry, startFilter);
  }

  SimulationRules with(StateChart<RequestState, RequestEvent, RequestAction> value) {
    return new SimulationRules(gate, value, retry, startFilter);
  }

  SimulationRules with(RetryRule value) {
    return new SimulationRules(gate, chart, value, startFilter);
  }

  SimulationRules with(Supplier<LongPredicate> value) {
    return new SimulationRules(gate, chart, retry, value);
  }
}
