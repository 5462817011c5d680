package org.carobhoist.core.rollout;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.BiConsumer;
import org.carobhoist.core.chart.ChartReader;
import org.carobhoist.core.chart.StateChart;
import org.carobhoist.core.chart.StateMachine;
import org.carobhoist.core.common.InstanceId;

/**
 * The coordinator's record of one sample of a step, with a running instance of its state machine.
 */
final class SampleSlot {

  private static final StateChart<SampleState, SampleEvent, SampleAction> CHART =
      ChartReader.readResource("sample", SampleState.class, SampleEvent.class, SampleAction.class);

  final SampleKey key;
  final StepRequest.GroupPrompt prompt;
  final List<AttemptTracker> trackers = new ArrayList<>(1);

  /**
   * Numbers of attempts that have ended for this coordinator. A late progress report on one of them
   * must not put it in flight again.
   */
  final Set<Integer> endedAttempts = new HashSet<>(2);

  Optional<FinishedSample> received = Optional.empty();
  Optional<FinishedSample> complete = Optional.empty();
  SamplePrefix prefix = SamplePrefix.NONE;
  Optional<InstanceId> avoid = Optional.empty();
  Duration notBefore = Duration.ZERO;
  int failures;
  boolean queued;
  private final StateMachine<SampleState, SampleEvent, SampleAction> stateMachine;

  SampleSlot(
      SampleKey key, StepRequest.GroupPrompt prompt, BiConsumer<SampleSlot, SampleAction> handler) {
    this.key = key;
    this.prompt = prompt;
    this.stateMachine = StateMachine.start(CHART, action -> handler.accept(this, action));
  }

  static StateChart<SampleState, SampleEvent, SampleAction> chart() {
    return CHART;
  }

  SampleState state() {
    return stateMachine.state();
  }

  void fire(SampleEvent event) {
    stateMachine.fire(event);
  }

  Optional<AttemptTracker> tracker(AttemptKey attempt) {
    return trackers.stream().filter(t -> t.attempt.equals(attempt)).findFirst();
  }

  /** Removes an attempt; fires {@link SampleEvent#GONE} if it was the last one in flight. */
  void remove(AttemptTracker tracker) {
    if (trackers.remove(tracker) && trackers.isEmpty()) {
      fire(SampleEvent.GONE);
    }
  }
}
